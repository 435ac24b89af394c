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
 * Carries evidence from this host to the owners of the services and ejections back to its
 * balancer, and decides for the services that this host owns. Lives on the control thread; must
 * outlive the work that it has posted.
 */
class HealthMonitor
{
public:
    using ReadmissionListener =
        std::function<void(const core::ServiceName &, const core::EndpointName &)>;

    /**
     * @param self this host
     * @param seed random; no two processes of a host may have the same
     * @param collector observer of @p balancer; used on the data thread only
     */
    HealthMonitor(core::HostName self, std::uint64_t seed, const core::IClock &clock,
                  peer::IPeerNetwork &network, const balance::IServiceOwners &owners,
                  core::IEventSink &events, balance::Balancer &balancer,
                  EvidenceCollector &collector, balance::Executors executors);

    /** Calls @p listener when this host, as the owner of a service, readmits an endpoint. */
    void setReadmissionListener(ReadmissionListener listener);

    void applySettings(const settings::SettingsPtr &newSettings);

    /** Reports, judges, and applies ejections that have expired; every ReportInterval. */
    void tick();

private:
    struct Owned
    {
        std::uint64_t holding = 0;
        std::unique_ptr<ServiceOwner> owner;
    };

    void sendReport(EvidenceReport report);
    void sendPart(const EvidenceReport &part);
    void onDatagram(const peer::Datagram &datagram);
    void onReport(const core::HostName &from, const EvidenceReport &report);
    void onUpdate(const EjectionUpdate &news);
    void deliver(const core::HostName &host, const EjectionUpdate &news);
    ServiceOwner *owner(const core::ServiceName &service);
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
    std::map<core::ServiceName, Owned> owned;
};

} // namespace damaskgate::health
