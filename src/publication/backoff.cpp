#include "backoff.h"

#include <algorithm>

namespace damaskgate::publication {

Backoff::Backoff(std::chrono::milliseconds first, std::chrono::milliseconds longest,
                 std::uint64_t seed)
    : first(first), longest(longest), step(first), random(seed)
{}

std::chrono::milliseconds Backoff::next()
{
    const auto whole = this->step.count();
    std::uniform_int_distribution<std::int64_t> pause(whole / 2, whole);
    this->step = std::min(this->step * 2, this->longest);
    return std::chrono::milliseconds(pause(this->random));
}

void Backoff::reset()
{
    this->step = this->first;
}

} // namespace damaskgate::publication
