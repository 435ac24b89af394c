#pragma once

#include <algorithm>

#include "damaskgate/core/time.h"

namespace damaskgate::support {

/**
 * Checks that every window of t seconds has at most rate * t + burst admissions.
 * This holds for all windows if and only if a token bucket that starts full never goes below zero.
 */
class WindowCheck
{
public:
    WindowCheck(double ratePerSecond, double burst)
        : ratePerSecond(ratePerSecond), burst(burst), level(burst)
    {}

    /** Records an admission at @p time. @return whether the limit still holds. */
    bool admit(core::Duration time)
    {
        const std::chrono::duration<double> passed = time - this->last;
        this->level = std::min(this->burst, this->level + this->ratePerSecond * passed.count());
        this->last = time;
        this->level -= 1;
        this->lowest = std::min(this->lowest, this->level);
        constexpr double Rounding = 1e-6;
        return this->level >= -Rounding;
    }

    /** @return the largest excess of admissions over the limit; negative if always below. */
    double excess() const
    {
        return -this->lowest;
    }

private:
    double ratePerSecond;
    double burst;
    double level;
    double lowest = 1e9;
    core::Duration last {};
};

} // namespace damaskgate::support
