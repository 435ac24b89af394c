#pragma once

#include <map>

#include "damaskgate/core/time.h"
#include "damaskgate/entry/iretrybudget.h"
#include "damaskgate/limits/sharedbucket.h"

namespace damaskgate::upstreams {

/** Limits on the retries of a service's requests by all hosts together. */
struct RetryLimits
{
    double perRequest = 0.1; //!< retries added by each request
    double perSecond = 1; //!< retries added per second
    double burst = 10; //!< retries that can accumulate

    bool operator==(const RetryLimits &) const = default;
};

/** Retry budgets of the services, each shared by all hosts. Not thread-safe. */
class FleetRetryBudget final : public entry::IRetryBudget
{
public:
    FleetRetryBudget(const core::IClock &clock, RetryLimits retryLimits);

    void onRequest(const core::ServiceName &service) override;
    bool hasRetry(const core::ServiceName &service) override;
    bool tryConsume(const core::ServiceName &service) override;
    void restore(const core::ServiceName &service) override;

    /** Consumes a retry that another host has made. */
    void consumeRemote(const core::ServiceName &service);

    /** Changes the limits; what the budgets hold is kept within them. */
    void setLimits(RetryLimits retryLimits);

    /** Sets the fraction of the fleet that this host can reach: above 0, at most 1. */
    void setReachableFraction(double reachableFraction);

private:
    limits::SharedBucket &bucketOf(const core::ServiceName &service);

    const core::IClock &clock;
    RetryLimits retryLimits;
    double reachableFraction = 1;
    std::map<core::ServiceName, limits::SharedBucket> buckets;
};

} // namespace damaskgate::upstreams
