#pragma once

#include <chrono>
#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/**
 * Tracks since when at least one host of the fleet has reached the source without an outage. A
 * short gap is no outage: the readers may have failed while the source served all others. It
 * doesn't read the clock.
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

    /**
     * @param maxGap longest time without contact in which no registration lapses at the source;
     *        a longer gap is an outage
     */
    SourceReachability(core::Instant startedAt, core::Duration maxGap);

    void setMaxGap(core::Duration maxGap);

    /**
     * @param isReached whether any host reaches the source
     * @return whether this differs from the last update
     */
    bool update(bool isReached, core::Instant now);

    /**
     * @return since when the source has been reachable without an outage, or nothing while no host
     *         reaches it
     */
    std::optional<core::Instant> reachableSince() const;

private:
    /** Time without contact, with all further gaps that follow each other by less than maxGap. */
    struct Gap
    {
        core::Instant startedAt;
        core::Instant reachedSince; //!< value of reachableSince() before the gap
    };

    core::Instant startedAt;
    core::Duration maxGap;
    std::optional<core::Instant> reachedSince;
    std::optional<Gap> gap; //!< the last one, unless it was an outage
    core::Instant regainedAt; //!< end of the last gap
    bool hasBeenReached = false;
};

} // namespace damaskgate::mirror
