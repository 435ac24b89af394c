#pragma once

#include <random>

#include "damaskgate/core/time.h"

namespace damaskgate::load {

/** Generates the arrival times of one stream, independently of response times (open loop). */
class Arrivals
{
public:
    /** @param perSecond arrival rate in requests per second; must be above zero */
    Arrivals(double perSecond, bool isPoisson, std::uint64_t seed);

    /** @return the time between the previous arrival and the next one. */
    core::Duration nextGap();

private:
    double perSecond;
    bool isPoisson;
    std::mt19937_64 random;
};

/** Token bucket that checks whether a workspace stays within its rate and burst. */
class OfferedRate
{
public:
    OfferedRate(double ratePerSecond, double burst);

    /**
     * Counts a request that is offered at @p now, whether or not it will be admitted.
     *
     * @return whether this request and the earlier ones are within the rate and burst
     */
    bool offer(core::Instant now);

private:
    double ratePerSecond;
    double burst;
    double tokens;
    core::Instant last {};
};

} // namespace damaskgate::load
