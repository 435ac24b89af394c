#pragma once

#include <cstdint>
#include <deque>
#include <set>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/health/floor.h"
#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

/** Ejections of one service that are in effect on one entry host. */
class EjectionView
{
public:
    void applyFloor(const Floor &floor);

    /**
     * Records that this host sends the report with @p sequence at @p now. The update that replies
     * to it expires EjectionUpdateLifetime after @p now.
     */
    void onReportSent(std::uint64_t sequence, core::Instant now);

    /**
     * Applies @p update unless it has expired, replies to an unknown report or is older than the
     * update applied last.
     */
    void onUpdate(const EjectionUpdate &update, core::Instant now);

    /**
     * @return the endpoints that this host must not use at @p now, never more than the floor in
     *         this host's settings allows
     */
    std::set<core::EndpointName> ejected(core::Instant now) const;

private:
    struct SentReport
    {
        std::uint64_t sequence = 0;
        core::Instant sentAt;
    };

    Floor floor;
    std::deque<SentReport> sentReports;
    std::uint64_t appliedSequence = 0; //!< sequence number of the latest applied update
    std::uint64_t appliedRevision = 0; //!< revision of the update applied last
    core::Instant expiry; //!< when the update applied last expires
    std::vector<core::EndpointName> endpoints;
};

} // namespace damaskgate::health
