#pragma once

#include <chrono>
#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/**
 * Tracks since when at least one host of the fleet has reached the source without interruption.
 * It doesn't read the clock.
 */
class SourceReachability
{
public:
    /**
     * If this host learns that the source is reachable within this time after its own start, it
     * assumes that the source was reachable before the start, too. Otherwise a restart would look
     * like the end of an outage of the source, and the host would keep registrations for a while
     * after their removal.
     */
    static constexpr core::Duration StartupGracePeriod = std::chrono::milliseconds(1000);

    explicit SourceReachability(core::Instant startedAt);

    /**
     * @param isReached whether any host reaches the source
     * @return whether this differs from the last update
     */
    bool update(bool isReached, core::Instant now);

    /** @return since when the source has been reachable, or nothing while no host reaches it. */
    std::optional<core::Instant> reachableSince() const;

private:
    core::Instant startedAt;
    std::optional<core::Instant> reachedSince;
    bool hasBeenReached = false;
};

} // namespace damaskgate::mirror
