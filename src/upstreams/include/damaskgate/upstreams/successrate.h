#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** Recent success rate of a service's requests, as an exponentially weighted moving average. */
class SuccessRate
{
public:
    /** Counts a request that has ended or was refused. */
    void count(bool isSuccess, core::Instant now);

    /** @return the fraction that was not successful; zero while too few requests are known. */
    double failureRate(core::Instant now) const;

private:
    double decay(core::Instant now) const;

    double total = 0; //!< weight of all requests at updatedAt
    double failed = 0; //!< weight of the unsuccessful requests at updatedAt
    core::Instant updatedAt;
};

} // namespace damaskgate::upstreams
