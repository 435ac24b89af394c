#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/health/ejectionplanner.h"
#include "damaskgate/health/faultdetector.h"
#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

/** Health decisions of the owner of one service: who is ejected and for how long. */
class ServiceOwner
{
public:
    /** An endpoint was ejected or readmitted. */
    struct Change
    {
        core::EndpointName endpoint;
        bool isEjected = false;
    };

    /**
     * @param holding of the owner's lease
     * @param ownedSince when this host became the owner
     */
    ServiceOwner(const core::ServiceName &service, std::uint64_t holding, core::Instant ownedSince,
                 FaultThresholds thresholds = {});

    void applySettings(const settings::Settings &settings);

    /** @return the answer to @p report of @p host. */
    EjectionUpdate onReport(const core::HostName &host, const EvidenceReport &report,
                            core::Instant now);

    /** @return news for every host that has reported, to be sent after a change. */
    std::map<core::HostName, EjectionUpdate> makeUpdates(core::Instant now);

    /** Judges and decides; called every ReportInterval. @return what has changed. */
    std::vector<Change> evaluate(core::Instant now);

    /** @return latency from which an exchange counts as slow. */
    core::Duration slowLimit() const;

private:
    struct History
    {
        core::Instant ejectedAt;
        std::uint32_t ejections = 0;
    };

    EjectionUpdate answer(std::uint64_t sequence, core::Instant now);
    void readmit(core::Instant now);
    void eject(core::Instant now);
    core::Duration probation(const History &history) const;
    std::vector<Change> takeChanges();

    core::ServiceName service;
    std::uint64_t holding;
    std::uint64_t revision = 0;
    EjectionPlanner planner;
    FaultDetector judge;
    std::map<core::HostName, core::DomainName> domains;
    std::map<core::EndpointName, History> histories;
    std::map<core::HostName, std::uint64_t> latestReports; //!< sequence
    std::set<core::EndpointName> announced; //!< as ejected
};

} // namespace damaskgate::health
