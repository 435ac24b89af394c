#pragma once

#include <algorithm>

#include "damaskgate/core/time.h"

namespace damaskgate::support {

/**
 * Checks a sequence of admissions: in every window t at most rate * t + burst.
 * A token bucket that starts full never runs dry exactly when that holds for all windows.
 */
class WindowCheck
{
public:
    WindowCheck(double ratePerSecond, double burst)
        : ratePerSecond(ratePerSecond), burst(burst), level(burst)
    {}

    /** @return whether the bound still holds with one more admission at @p time. */
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

    /** @return by how many requests the bound was passed at worst; negative: room that was left. */
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
