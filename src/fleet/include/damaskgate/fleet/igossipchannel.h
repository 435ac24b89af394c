#pragma once

#include <functional>
#include <vector>

#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/**
 * Distributes gossip items to all hosts. An item may be lost, duplicated or delivered out of order.
 */
class IGossipChannel
{
public:
    using Listener = std::function<void(const GossipItem &)>;
    using SnapshotSource = std::function<std::vector<GossipItem>()>;

    virtual ~IGossipChannel() = default;

    /** Sends @p item to all hosts and sets its origin to this host. */
    virtual void publish(GossipItem item) = 0;

    /**
     * Sets @p source of the items that a host gets which has just started, since it has missed all
     * earlier ones. Must be called before the start.
     */
    virtual void setSnapshotSource(SnapshotSource source) = 0;

    /** Calls @p listener for each item of another host. Must be called before the start. */
    virtual void addListener(Listener listener) = 0;
};

} // namespace damaskgate::fleet
