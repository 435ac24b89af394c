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

bool FleetRetryBudget::tryTake(const core::ServiceName &service)
{
    return this->bucketOf(service).tryConsume(this->clock.now());
}

void FleetRetryBudget::takeRemote(const core::ServiceName &service)
{
    this->bucketOf(service).consumeRemote(this->clock.now());
}

void FleetRetryBudget::setShare(double share)
{
    if (share == this->share) {
        return;
    }
    this->share = share;
    for (auto &[service, bucket] : this->buckets) {
        bucket.setReachableFraction(share, this->clock.now());
    }
}

limits::SharedBucket &FleetRetryBudget::bucketOf(const core::ServiceName &service)
{
    const auto found = this->buckets.find(service);
    if (found != this->buckets.end()) {
        return found->second;
    }
    const limits::BucketLimits size { this->bounds.perSecond, this->bounds.burst };
    auto &bucket =
        this->buckets.emplace(service, limits::SharedBucket(size, this->clock.now())).first->second;
    bucket.setReachableFraction(this->share, this->clock.now());
    return bucket;
}

} // namespace damaskgate::upstreams
