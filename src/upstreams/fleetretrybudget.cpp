#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::upstreams {

FleetRetryBudget::FleetRetryBudget(const core::IClock &clock, RetryLimits retryLimits)
    : clock(clock), retryLimits(retryLimits)
{}

void FleetRetryBudget::onRequest(const core::ServiceName &service)
{
    this->bucketOf(service).add(this->retryLimits.perRequest, this->clock.now());
}

bool FleetRetryBudget::hasRetry(const core::ServiceName &service)
{
    return this->bucketOf(service).hasToken(this->clock.now());
}

bool FleetRetryBudget::tryConsume(const core::ServiceName &service)
{
    return this->bucketOf(service).tryConsume(this->clock.now());
}

void FleetRetryBudget::restore(const core::ServiceName &service)
{
    this->bucketOf(service).add(1, this->clock.now());
}

void FleetRetryBudget::consumeRemote(const core::ServiceName &service)
{
    this->bucketOf(service).consumeRemote(this->clock.now());
}

void FleetRetryBudget::setLimits(RetryLimits retryLimits)
{
    this->retryLimits = retryLimits;
    for (auto &[service, bucket] : this->buckets) {
        bucket.setLimits({ retryLimits.perSecond, retryLimits.burst }, this->clock.now());
    }
}

void FleetRetryBudget::setReachableFraction(double reachableFraction)
{
    if (reachableFraction == this->reachableFraction) {
        return;
    }
    this->reachableFraction = reachableFraction;
    for (auto &[service, bucket] : this->buckets) {
        bucket.setReachableFraction(reachableFraction, this->clock.now());
    }
}

limits::SharedBucket &FleetRetryBudget::bucketOf(const core::ServiceName &service)
{
    const auto found = this->buckets.find(service);
    if (found != this->buckets.end()) {
        return found->second;
    }
    const limits::BucketLimits size { this->retryLimits.perSecond, this->retryLimits.burst };
    auto &bucket =
        this->buckets.emplace(service, limits::SharedBucket(size, this->clock.now())).first->second;
    bucket.setReachableFraction(this->reachableFraction, this->clock.now());
    return bucket;
}

} // namespace damaskgate::upstreams
