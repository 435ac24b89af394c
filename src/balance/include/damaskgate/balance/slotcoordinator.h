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
 * Carries slot messages between the balancer of this host and the owners of the services, and
 * keeps the ledgers of the services that this host owns. Lives on the control thread; must outlive
 * the work that it has posted.
 */
class SlotCoordinator
{
public:
    struct Self
    {
        core::HostName host;
        std::uint64_t incarnation = 0; //!< of this process
    };

    SlotCoordinator(Self self, const core::IClock &clock, peer::IPeerNetwork &network,
                    const IServiceOwners &owners, core::IEventSink &events, Balancer &balancer,
                    Executors executors);

    void applySettings(const settings::SettingsPtr &newSettings);

    /** Asks the balancer for requests and sends them; every ReportInterval. */
    void tick();

    /** The owner, this host, has readmitted @p endpoint: it is cold. */
    void onReadmitted(const core::ServiceName &service, const core::EndpointName &endpoint);

private:
    struct Owned
    {
        std::uint64_t leaseId = 0;
        ColdSlotAllocator ledger;
    };

    void sendRequests(const std::vector<SlotRequest> &requests);
    void onDatagram(const peer::Datagram &datagram);
    std::optional<SlotReply> answer(const core::HostName &from, std::uint64_t incarnation,
                                    const SlotRequest &request);
    ColdSlotAllocator *ledger(const core::ServiceName &service);
    void sendNews(const core::ServiceName &service, ColdSlotAllocator &ledger);
    void deliver(const core::HostName &host, const SlotReply &answer);

    Self self;
    const core::IClock &clock;
    peer::IPeerNetwork &network;
    const IServiceOwners &owners;
    core::IEventSink &events;
    Balancer &balancer;
    Executors executors;
    settings::SettingsPtr settings;
    std::map<core::ServiceName, Owned> owned;
};

} // namespace damaskgate::balance
