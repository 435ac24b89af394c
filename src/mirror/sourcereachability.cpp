#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

namespace {

// Time before its own start for which this host assumes that the source was reachable.
constexpr core::Duration AssumedReachableBeforeStart = std::chrono::hours(1);

} // namespace

SourceReachability::SourceReachability(core::Instant startedAt, core::Duration maxGap)
    : startedAt(startedAt), maxGap(maxGap), regainedAt(startedAt)
{}

void SourceReachability::setMaxGap(core::Duration maxGap)
{
    this->maxGap = maxGap;
}

bool SourceReachability::update(bool isReached, core::Instant now)
{
    if (isReached == this->reachedSince.has_value()) {
        return false;
    }
    if (!isReached) {
        if (!this->gap || now - this->regainedAt > this->maxGap) {
            this->gap = Gap { now, *this->reachedSince };
        }
        this->reachedSince.reset();
        return true;
    }
    const bool isReachedAtStartup =
        !this->hasBeenReached && now - this->startedAt <= StartupGracePeriod;
    const bool isShortGap = this->gap && now - this->gap->startedAt <= this->maxGap;
    this->reachedSince = isReachedAtStartup ? this->startedAt - AssumedReachableBeforeStart
        : isShortGap                        ? this->gap->reachedSince
                                            : now;
    if (!isShortGap) {
        this->gap.reset();
    }
    this->regainedAt = now;
    this->hasBeenReached = true;
    return true;
}

std::optional<core::Instant> SourceReachability::reachableSince() const
{
    return this->reachedSince;
}

} // namespace damaskgate::mirror
