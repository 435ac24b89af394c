#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

namespace {

constexpr core::Duration LongBefore = std::chrono::hours(1); // before the start of this process

} // namespace

SourceReachability::SourceReachability(core::Instant startedAt) : startedAt(startedAt) {}

bool SourceReachability::update(bool isReached, core::Instant now)
{
    if (isReached == this->reachedSince.has_value()) {
        return false;
    }
    if (!isReached) {
        this->reachedSince.reset();
        return true;
    }
    const bool isFirst = !this->wasReached && now - this->startedAt <= StartupGracePeriod;
    this->reachedSince = isFirst ? this->startedAt - LongBefore : now;
    this->wasReached = true;
    return true;
}

std::optional<core::Instant> SourceReachability::reachableSince() const
{
    return this->reachedSince;
}

} // namespace damaskgate::mirror
