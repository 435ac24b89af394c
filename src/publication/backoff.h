#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace damaskgate::publication {

/** Pauses between failed calls: doubled each time up to a longest one, with jitter. */
class Backoff
{
public:
    Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest, std::uint64_t seed);

    /** @return the pause after one more failure: between half of the step and the whole step. */
    std::chrono::milliseconds next();

    /** Starts again from the first pause. */
    void reset();

private:
    std::chrono::milliseconds first;
    std::chrono::milliseconds longest;
    std::chrono::milliseconds step;
    std::mt19937_64 random;
};

} // namespace damaskgate::publication
