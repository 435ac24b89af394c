#include "damaskgate/load/arrivals.h"

#include <algorithm>

namespace damaskgate::load {

namespace {

// Limits how far the tokens go below zero, in seconds of the rate. Without the limit, requests
// would count as excess for the rest of the run after one large burst.
constexpr double MaxDebtSeconds { 10 };

} // namespace

Arrivals::Arrivals(double perSecond, bool isPoisson, std::uint64_t seed)
    : perSecond(perSecond), isPoisson(isPoisson), random(seed)
{}

core::Duration Arrivals::nextGap()
{
    double seconds = 1 / this->perSecond;
    if (this->isPoisson) {
        seconds = std::exponential_distribution<double>(this->perSecond)(this->random);
    }
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

OfferedRate::OfferedRate(double ratePerSecond, double burst)
    : ratePerSecond(ratePerSecond), burst(burst), tokens(burst)
{}

bool OfferedRate::offer(core::Instant now)
{
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    this->tokens = std::min(this->burst, this->tokens + passed.count() * this->ratePerSecond) - 1;
    this->tokens = std::max(this->tokens, -MaxDebtSeconds * this->ratePerSecond);
    return this->tokens >= 0;
}

} // namespace damaskgate::load
