#include "damaskgate/limits/tokenbucket.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace damaskgate::limits {

namespace {

using Seconds = std::chrono::duration<double>;

//! NOTE Rounding errors could otherwise hide a token at the time computed by timeUntilTokens().
constexpr double RoundingTolerance = 1e-9;

} // namespace

TokenBucket::TokenBucket(double ratePerSecond, double burst, core::Instant start,
                         const LimiterGuards &guards)
    : guards(guards), ratePerSecond(ratePerSecond), burst(burst),
      level(guards.startsEmpty ? 0 : burst), ceiling(burst), updatedAt(start)
{}

void TokenBucket::configure(double newRatePerSecond, double newBurst, core::Instant now)
{
    this->refill(now);
    this->ratePerSecond = newRatePerSecond;
    this->burst = newBurst;
    const double room = std::max(0.0, newBurst - static_cast<double>(this->reservations.size()));
    this->level = std::min(this->level, room);
    this->ceiling = std::min(this->ceiling, room);
}

bool TokenBucket::consume(core::Instant now)
{
    this->refill(now);
    if (this->level < 1 - RoundingTolerance) {
        return false;
    }
    this->level -= 1;
    this->ceiling -= 1;
    return true;
}

bool TokenBucket::reserve(core::Instant now, core::Instant usableUntil)
{
    this->refill(now);
    if (this->level < 1 - RoundingTolerance) {
        return false;
    }
    if (this->guards.debitsBeforeTelling) {
        this->level -= 1;
        this->ceiling -= 1;
    }
    if (this->guards.reservesTokensInUse) {
        this->reservations.insert(std::ranges::upper_bound(this->reservations, usableUntil),
                                  usableUntil);
    }
    return true;
}

core::Duration TokenBucket::timeUntilTokens(double tokens, core::Instant now)
{
    this->refill(now);
    const double missing = tokens - this->level;
    if (missing <= RoundingTolerance) {
        return {};
    }
    if (tokens > this->burst || this->ratePerSecond <= 0) {
        return core::Duration::max();
    }
    const Seconds wait(missing / this->ratePerSecond);
    constexpr Seconds MaxWait = std::chrono::hours(1);
    return std::chrono::duration_cast<core::Duration>(std::min(wait, MaxWait)) + core::Duration(1);
}

void TokenBucket::acceptHandover(double tokens, core::Instant now)
{
    this->refill(now);
    this->level = std::max(this->level, std::min(this->level + tokens, this->ceiling));
}

double TokenBucket::drain(core::Instant now)
{
    this->refill(now);
    return std::exchange(this->level, 0.0);
}

core::Instant TokenBucket::reservedUntil() const
{
    return this->reservations.empty() ? core::Instant::min() : this->reservations.back();
}

bool TokenBucket::isIdle(core::Instant now)
{
    this->refill(now);
    return this->reservations.empty() && this->level >= this->burst;
}

void TokenBucket::refill(core::Instant now)
{
    while (!this->reservations.empty() && this->reservations.front() <= now) {
        this->accrueUntil(this->reservations.front());
        this->reservations.pop_front();
    }
    this->accrueUntil(now);
}

void TokenBucket::accrueUntil(core::Instant time)
{
    if (time <= this->updatedAt) {
        return;
    }
    const double accrued = this->ratePerSecond * Seconds(time - this->updatedAt).count();
    const double room = std::max(0.0, this->burst - static_cast<double>(this->reservations.size()));
    this->level = std::max(this->level, std::min(this->level + accrued, room));
    this->ceiling = std::max(this->ceiling, std::min(this->ceiling + accrued, room));
    this->updatedAt = time;
}

} // namespace damaskgate::limits
