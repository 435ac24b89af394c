#include "backoff.h"

#include <algorithm>

namespace damaskgate::publication {

Backoff::Backoff(std::chrono::milliseconds initial, std::chrono::milliseconds max,
                 std::uint64_t seed)
    : initial(initial), max(max), step(initial), random(seed)
{}

std::chrono::milliseconds Backoff::next()
{
    const auto fullStep = this->step.count();
    std::uniform_int_distribution<std::int64_t> pause(fullStep / 2, fullStep);
    this->step = std::min(this->step * 2, this->max);
    return std::chrono::milliseconds(pause(this->random));
}

void Backoff::reset()
{
    this->step = this->initial;
}

} // namespace damaskgate::publication
