#include "damaskgate/upstreams/decayingcount.h"

#include <algorithm>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Seconds AveragingTime { 1 };

} // namespace

void DecayingCount::add(core::Instant now)
{
    this->count = this->perSecond(now) * AveragingTime.count() + 1;
    this->countedAt = now;
}

double DecayingCount::perSecond(core::Instant now) const
{
    const Seconds passed = now - this->countedAt;
    return this->count * std::exp(-std::max(passed / AveragingTime, 0.0)) / AveragingTime.count();
}

} // namespace damaskgate::upstreams
