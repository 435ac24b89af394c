#pragma once

#include <random>

#include "damaskgate/core/time.h"

namespace damaskgate::load {

/** Times of the requests of one stream; they do not depend on how fast answers come. */
class Arrivals
{
public:
    /** @p perSecond must be above zero. */
    Arrivals(double perSecond, bool isPoisson, std::uint64_t seed);

    /** @return the time from the arrival before to the next one. */
    core::Duration nextGap();

private:
    double perSecond;
    bool isPoisson;
    std::mt19937_64 random;
};

/** Tells whether a workspace has stayed within its rate and burst so far. */
class OfferedRate
{
public:
    OfferedRate(double ratePerSecond, double burst);

    /**
     * Counts a request that is offered at @p now, whether or not it will be admitted.
     *
     * @return whether it and those before it fit into the rate and burst
     */
    bool offer(core::Instant now);

private:
    double ratePerSecond;
    double burst;
    double tokens;
    core::Instant last {};
};

} // namespace damaskgate::load
