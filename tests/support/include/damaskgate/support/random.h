#pragma once

#include <cstdint>
#include <random>

#include "damaskgate/core/time.h"

namespace damaskgate::support {

/** Seeded random numbers; equal seeds give equal schedules. */
class Random
{
public:
    explicit Random(std::uint64_t seed) : engine(seed) {}

    /** @return a number in [0, 1). */
    double fraction()
    {
        constexpr double Scale = 1.0 / 9007199254740992.0;
        return static_cast<double>(this->engine() >> 11U) * Scale;
    }

    /** @return a number in [0, count). */
    std::size_t below(std::size_t count)
    {
        return static_cast<std::size_t>(this->engine() % count);
    }

    bool chance(double probability)
    {
        return this->fraction() < probability;
    }

    /** @return a duration in [@p low, @p high). */
    core::Duration between(core::Duration low, core::Duration high)
    {
        return low + std::chrono::duration_cast<core::Duration>((high - low) * this->fraction());
    }

    /** @return the time to the next arrival of a Poisson process. */
    core::Duration arrival(double perSecond)
    {
        const std::chrono::duration<double> wait(
            std::exponential_distribution<double>(perSecond)(this->engine));
        return std::chrono::duration_cast<core::Duration>(wait);
    }

    std::uint64_t next()
    {
        return this->engine();
    }

private:
    std::mt19937_64 engine;
};

} // namespace damaskgate::support
