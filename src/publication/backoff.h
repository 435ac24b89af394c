#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace damaskgate::publication {

/** Exponential backoff with jitter: the pause doubles after each failure up to a maximum. */
class Backoff
{
public:
    Backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max, std::uint64_t seed);

    /** @return the next pause: a random time between half of the step and the full step. */
    std::chrono::milliseconds next();

    /** Resets the step to the initial one; to be called after a success. */
    void reset();

private:
    std::chrono::milliseconds initial;
    std::chrono::milliseconds max;
    std::chrono::milliseconds step;
    std::mt19937_64 random;
};

} // namespace damaskgate::publication
