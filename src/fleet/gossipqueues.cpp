#include "gossipqueues.h"

#include <iterator>
#include <utility>

namespace damaskgate::fleet {

namespace {

void append(std::vector<GossipItem> &queue, std::span<const GossipItem> gossipItems)
{
    queue.insert(queue.end(), gossipItems.begin(), gossipItems.end());
}

} // namespace

void GossipQueues::addLocal(const GossipItem &item)
{
    this->forFleet.push_back(item);
}

bool GossipQueues::addReceived(std::span<const GossipItem> gossipItems, GossipScope scope)
{
    if (gossipItems.empty()) {
        return false;
    }
    switch (scope) {
    case GossipScope::Receiver:
        return false;
    case GossipScope::LocalHosts:
        append(this->forLocalHosts, gossipItems);
        return true;
    case GossipScope::Domain:
        append(this->forDomain, gossipItems);
        return true;
    case GossipScope::Fleet:
        append(this->forLocalHosts, gossipItems);
        append(this->forRelays, gossipItems);
        return true;
    }
    return false;
}

bool GossipQueues::needsAllTargets(bool isHub) const
{
    return isHub || !this->forLocalHosts.empty() || !this->forRelays.empty();
}

std::vector<GossipBatch> GossipQueues::take(const GossipTargets &targets)
{
    if (targets.isHub) {
        append(this->forLocalHosts, this->forFleet);
        append(this->forRelays, std::exchange(this->forFleet, {}));
        append(this->forLocalHosts, std::exchange(this->forDomain, {}));
    }
    std::vector<GossipBatch> batches;
    const auto add = [&batches](const std::vector<core::HostName> &hosts, GossipScope scope,
                                std::vector<GossipItem> &queue) {
        std::vector<GossipItem> gossipItems = std::exchange(queue, {});
        if (!gossipItems.empty() && !hosts.empty()) {
            batches.push_back({ hosts, scope, std::move(gossipItems) });
        }
    };
    add({ targets.hub }, GossipScope::Fleet, this->forFleet);
    add({ targets.hub }, GossipScope::LocalHosts, this->forDomain);
    add(targets.relays, GossipScope::Domain, this->forRelays);
    add(targets.localHosts, GossipScope::Receiver, this->forLocalHosts);
    return batches;
}

} // namespace damaskgate::fleet
