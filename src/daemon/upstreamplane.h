#pragma once

#include <cstdint>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/balance/slotcoordinator.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/health/evidencecollector.h"
#include "damaskgate/health/healthmonitor.h"
#include "damaskgate/peer/ipeernetwork.h"

#include "dataplane.h"
#include "serviceowners.h"

namespace damaskgate::daemon {

/** Coordinates endpoint health and slots with the other hosts. Used on the control thread. */
class UpstreamPlane
{
public:
    struct Dependencies
    {
        boost::asio::io_context &context;
        const core::IClock &clock;
        core::IEventSink &events;
        peer::IPeerNetwork &network;
        const lease::ILeaseView &leases;
        DataPlane &data;
    };

    UpstreamPlane(const Dependencies &dependencies, const core::HostName &self,
                  std::uint64_t incarnation);
    ~UpstreamPlane();

    UpstreamPlane(const UpstreamPlane &) = delete;
    UpstreamPlane &operator=(const UpstreamPlane &) = delete;

    /** Starts the timers that exchange slot and health reports with the owners of services. */
    void start();

    void stop();

    void applySettings(const settings::SettingsPtr &settings);

private:
    void scheduleSlotTick();
    void scheduleHealthTick();

    ServiceOwners owners;
    health::EvidenceCollector collector; //!< used on the data thread only
    health::HealthMonitor monitor;
    balance::SlotCoordinator slotCoordinator;
    balance::Balancer &balancer;
    boost::asio::steady_timer slotTimer;
    boost::asio::steady_timer healthTimer;
};

} // namespace damaskgate::daemon
