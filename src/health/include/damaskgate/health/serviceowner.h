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

/** Runs on the owner of a service: decides which endpoints are ejected and for how long. */
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
     * @param leaseId id of the owner's lease
     * @param ownedSince time at which this host became the owner
     */
    ServiceOwner(const core::ServiceName &service, std::uint64_t leaseId, core::Instant ownedSince,
                 FaultThresholds thresholds = {});

    void applySettings(const settings::Settings &settings);

    /** Records @p report of @p host. @return the reply to it. */
    EjectionUpdate onReport(const core::HostName &host, const EvidenceReport &report,
                            core::Instant now);

    /** @return an update for each host that has reported, to be sent after a change. */
    std::map<core::HostName, EjectionUpdate> makeUpdates(core::Instant now);

    /**
     * Evaluates the reports, readmits endpoints whose ejection time is over and ejects faulty ones.
     * Call it every ReportInterval.
     *
     * @return the endpoints ejected or readmitted since the previous call
     */
    std::vector<Change> evaluate(core::Instant now);

    /** @return latency above which an exchange counts as slow. */
    core::Duration slowLimit() const;

private:
    struct History
    {
        core::Instant ejectedAt;
        std::uint32_t ejections = 0;
    };

    EjectionUpdate makeUpdate(std::uint64_t sequence, core::Instant now);
    void readmit(core::Instant now);
    void eject(core::Instant now);
    core::Duration ejectionTime(const History &history) const;
    std::vector<Change> collectChanges();

    core::ServiceName service;
    std::uint64_t leaseId;
    std::uint64_t revision = 0;
    EjectionPlanner planner;
    FaultDetector faultDetector;
    std::map<core::HostName, core::DomainName> domains;
    std::map<core::EndpointName, History> histories;
    std::map<core::HostName, std::uint64_t> latestSequences;
    std::set<core::EndpointName> reportedEjected; //!< ejections that evaluate() has returned
};

} // namespace damaskgate::health
