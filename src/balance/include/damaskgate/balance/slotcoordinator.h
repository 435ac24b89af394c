#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/peer/ipeernetwork.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/balance/balancer.h"
#include "damaskgate/balance/coldslotallocator.h"
#include "damaskgate/balance/executors.h"
#include "damaskgate/balance/iserviceowners.h"

namespace damaskgate::balance {

/**
 * Exchanges slot messages between the balancer of this host and the owners of the services, and
 * allocates the cold slots of the services that this host owns. Runs on the control thread. Must
 * outlive the work that it has posted.
 */
class SlotCoordinator
{
public:
    struct Self
    {
        core::HostName host;
        std::uint64_t incarnation = 0; //!< incarnation of this process
    };

    SlotCoordinator(Self self, const core::IClock &clock, peer::IPeerNetwork &network,
                    const IServiceOwners &owners, core::IEventSink &events, Balancer &balancer,
                    Executors executors);

    void applySettings(const settings::SettingsPtr &newSettings);

    /** Sends the slot requests of the balancer to the owners; called every ReportInterval. */
    void tick();

    /** Marks @p endpoint cold after this host, as the owner, has readmitted it. */
    void onReadmitted(const core::ServiceName &service, const core::EndpointName &endpoint);

private:
    struct OwnedService
    {
        std::uint64_t leaseId = 0;
        ColdSlotAllocator allocator;
    };

    void sendRequests(const std::vector<SlotRequest> &requests);
    void onDatagram(const peer::Datagram &datagram);
    std::optional<SlotReply> handleRequest(const core::HostName &from, std::uint64_t incarnation,
                                           const SlotRequest &request);
    ColdSlotAllocator *allocator(const core::ServiceName &service);
    void sendUpdates(const core::ServiceName &service, ColdSlotAllocator &allocator);
    void deliver(const core::HostName &host, const SlotReply &reply);

    Self self;
    const core::IClock &clock;
    peer::IPeerNetwork &network;
    const IServiceOwners &owners;
    core::IEventSink &events;
    Balancer &balancer;
    Executors executors;
    settings::SettingsPtr settings;
    std::map<core::ServiceName, OwnedService> owned;
};

} // namespace damaskgate::balance
