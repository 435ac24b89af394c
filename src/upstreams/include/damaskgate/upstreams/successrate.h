#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** Share of a service's requests that were served lately, as a moving average. */
class SuccessRate
{
public:
    /** Counts a request that ended. */
    void count(bool isServed, core::Instant now);

    /** @return the share that was not served; zero while too few are known. */
    double failureRate(core::Instant now) const;

private:
    double decay(core::Instant now) const;

    double total = 0; //!< as of updatedAt
    double missed = 0;
    core::Instant updatedAt;
};

} // namespace damaskgate::upstreams
