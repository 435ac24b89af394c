#pragma once

#include <map>

#include "damaskgate/core/time.h"
#include "damaskgate/entry/iretrybudget.h"
#include "damaskgate/limits/sharedbucket.h"

namespace damaskgate::upstreams {

/** How many requests may be sent to a second endpoint, over all hosts. */
struct RetryBounds
{
    double perRequest = 0.1; //!< retries that each request adds
    double perSecond = 1; //!< retries that time adds
    double burst = 10; //!< retries that may be saved
};

/** Retry budget of each service that all hosts draw from. Used on one thread. */
class FleetRetryBudget final : public entry::IRetryBudget
{
public:
    FleetRetryBudget(const core::IClock &clock, RetryBounds bounds);

    void onRequest(const core::ServiceName &service) override;
    bool hasRetry(const core::ServiceName &service) override;
    bool tryConsume(const core::ServiceName &service) override;

    /** Counts a retry that another host has made. */
    void takeRemote(const core::ServiceName &service);

    /** Tells which part of the fleet this host hears, above 0 and at most 1. */
    void setShare(double share);

private:
    limits::SharedBucket &bucketOf(const core::ServiceName &service);

    const core::IClock &clock;
    RetryBounds bounds;
    double share = 1;
    std::map<core::ServiceName, limits::SharedBucket> buckets;
};

} // namespace damaskgate::upstreams
