#pragma once

#include <span>
#include <vector>

#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** Gossip items to be sent to the same hosts with the same scope. */
struct GossipBatch
{
    std::vector<core::HostName> hosts;
    GossipScope scope = GossipScope::Receiver;
    std::vector<GossipItem> gossipItems;
};

/** The hosts to which this host can send gossip items. */
struct GossipTargets
{
    core::HostName hub; //!< hub of this failure domain
    bool isHub = false; //!< whether this host is the hub
    std::vector<core::HostName> localHosts; //!< all hosts of this failure domain
    std::vector<core::HostName> relays; //!< one host of each other failure domain
};

/**
 * Gossip items waiting to be sent, by their remaining scope. Only hubs send across failure domains,
 * so that one message carries many items there. The class uses neither clock nor network.
 */
class GossipQueues
{
public:
    /** Queues an item that this host publishes to all hosts. */
    void addLocal(const GossipItem &item);

    /** Queues received items that must be forwarded. @return whether any was queued */
    bool addReceived(std::span<const GossipItem> gossipItems, GossipScope scope);

    /**
     * @return whether take() needs the local hosts and the relays; otherwise all queued items go to
     *         the hub
     * @param isHub whether this host is the hub
     */
    bool needsAllTargets(bool isHub) const;

    /** Removes all queued items. @return the items, grouped by receivers and scope */
    std::vector<GossipBatch> take(const GossipTargets &targets);

private:
    std::vector<GossipItem> forFleet; //!< items of this host, for all hosts
    std::vector<GossipItem> forDomain; //!< items of other domains, for this failure domain
    std::vector<GossipItem> forLocalHosts; //!< to be sent to each local host
    std::vector<GossipItem> forRelays; //!< to be sent to the relays
};

} // namespace damaskgate::fleet
