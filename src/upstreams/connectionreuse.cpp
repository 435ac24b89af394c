#include "damaskgate/upstreams/connectionreuse.h"

#include <algorithm>
#include <array>

namespace damaskgate::upstreams {

namespace {

constexpr std::size_t MaxIdle = 8;

} // namespace

void ConnectionReuse::onStarted()
{
    this->idleCount -= this->idleCount > 0 ? 1 : 0;
}

void ConnectionReuse::onEnded(balance::Outcome outcome, core::Instant now)
{
    using balance::Outcome;
    constexpr std::array KeptAfter { Outcome::Answered, Outcome::ServerError, Outcome::Shed };
    if (std::ranges::find(KeptAfter, outcome) == KeptAfter.end()) {
        return;
    }
    this->idleCount = std::min(this->idleCount + 1, MaxIdle);
    this->idleSince = now;
}

bool ConnectionReuse::isReusable(bool isRepeatable, core::Instant now) const
{
    const core::Duration longest = isRepeatable ? RepeatableIdleTime : UnrepeatableIdleTime;
    return this->idleCount > 0 && now - this->idleSince <= longest;
}

} // namespace damaskgate::upstreams
