#pragma once

#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::fleet {

/**
 * Decides when queued gossip items are sent, so that most messages carry several items and urgent
 * items wait little. The class uses neither clock nor timer.
 */
class GossipFlushSchedule
{
public:
    /**
     * Records that items were queued.
     *
     * @param isUrgent whether one of them is urgent, see GossipItem::isUrgent
     * @return the new time at which the queued items are to be sent, or nothing if it is unchanged
     */
    std::optional<core::Instant> onQueued(bool isUrgent, core::Instant now);

    /** Records that all queued items are sent. */
    void onFlushed(core::Instant now);

private:
    std::optional<core::Instant> due; //!< set while items are queued
    std::optional<core::Instant> flushedAt; //!< time of the last flush
};

} // namespace damaskgate::fleet
