#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <vector>

#include "damaskgate/balance/balancer.h"
#include "damaskgate/balance/executors.h"
#include "damaskgate/balance/iserviceowners.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/peer/ipeernetwork.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/health/ejectionview.h"
#include "damaskgate/health/evidencecollector.h"
#include "damaskgate/health/serviceowner.h"

namespace damaskgate::health {

/**
 * Sends this host's evidence to the owners of the services and applies the ejections from their
 * replies to this host's balancer. Runs a ServiceOwner for each service that this host owns.
 *
 * Used on the control thread. It must outlive the work that it posts to the executors.
 */
class HealthMonitor
{
public:
    using ReadmissionListener =
        std::function<void(const core::ServiceName &, const core::EndpointName &)>;

    /**
     * @param self this host
     * @param seed random number from which the sequences of reports start; must differ between
     *        the processes of one host
     * @param collector observer of @p balancer; accessed on the data thread only
     */
    HealthMonitor(core::HostName self, std::uint64_t seed, const core::IClock &clock,
                  peer::IPeerNetwork &network, const balance::IServiceOwners &owners,
                  core::IEventSink &events, balance::Balancer &balancer,
                  EvidenceCollector &collector, balance::Executors executors);

    /** Sets @p listener, called when this host readmits an endpoint as owner of its service. */
    void setReadmissionListener(ReadmissionListener listener);

    void applySettings(const settings::SettingsPtr &newSettings);

    /**
     * Sends reports, evaluates the services that this host owns and drops expired ejections. Call
     * it every ReportInterval.
     */
    void tick();

private:
    struct OwnedService
    {
        std::uint64_t leaseId = 0;
        std::unique_ptr<ServiceOwner> owner;
    };

    void sendReport(EvidenceReport report);
    void sendToTargets(const EvidenceReport &part);
    void onDatagram(const peer::Datagram &datagram);
    void onReport(const core::HostName &from, const EvidenceReport &report);
    void onUpdate(const EjectionUpdate &update);
    void deliver(const core::HostName &host, const EjectionUpdate &update);
    ServiceOwner *currentOwner(const core::ServiceName &service);
    void evaluate(const core::ServiceName &service, ServiceOwner &owner);
    void applyEjections(const core::ServiceName &service);

    core::HostName self;
    std::uint64_t sequence;
    const core::IClock &clock;
    peer::IPeerNetwork &network;
    const balance::IServiceOwners &owners;
    core::IEventSink &events;
    balance::Balancer &balancer;
    EvidenceCollector &collector;
    balance::Executors executors;
    ReadmissionListener readmissionListener;
    settings::SettingsPtr settings;
    std::map<core::ServiceName, EjectionView> views;
    std::map<core::ServiceName, core::Instant> reportSentAt;
    std::map<core::ServiceName, OwnedService> ownedServices;
};

} // namespace damaskgate::health
