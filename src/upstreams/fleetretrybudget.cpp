#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::upstreams {

FleetRetryBudget::FleetRetryBudget(const core::IClock &clock, RetryBounds bounds)
    : clock(clock), bounds(bounds)
{}

void FleetRetryBudget::onRequest(const core::ServiceName &service)
{
    this->bucketOf(service).add(this->bounds.perRequest, this->clock.now());
}

bool FleetRetryBudget::hasRetry(const core::ServiceName &service)
{
    return this->bucketOf(service).hasToken(this->clock.now());
}

bool FleetRetryBudget::tryConsume(const core::ServiceName &service)
{
    return this->bucketOf(service).tryTake(this->clock.now());
}

void FleetRetryBudget::takeRemote(const core::ServiceName &service)
{
    this->bucketOf(service).takeRemote(this->clock.now());
}

void FleetRetryBudget::setShare(double share)
{
    if (share == this->share) {
        return;
    }
    this->share = share;
    for (auto &[service, bucket] : this->buckets) {
        bucket.setShare(share, this->clock.now());
    }
}

limits::SharedBucket &FleetRetryBudget::bucketOf(const core::ServiceName &service)
{
    const auto found = this->buckets.find(service);
    if (found != this->buckets.end()) {
        return found->second;
    }
    const limits::BucketSize size { this->bounds.perSecond, this->bounds.burst };
    auto &bucket =
        this->buckets.emplace(service, limits::SharedBucket(size, this->clock.now())).first->second;
    bucket.setShare(this->share, this->clock.now());
    return bucket;
}

} // namespace damaskgate::upstreams
