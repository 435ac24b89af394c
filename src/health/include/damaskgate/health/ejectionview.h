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

/** The ejections of one service that one entry host keeps to. */
class EjectionView
{
public:
    void applyFloor(const Floor &floor);

    /** A report with @p sequence is sent; its answer is in force for EjectionUpdateLifetime from
     * now. */
    void onReportSent(std::uint64_t sequence, core::Instant now);

    /** Applies @p news; answers to older reports and expired ones are ignored. */
    void onUpdate(const EjectionUpdate &news, core::Instant now);

    /** @return the endpoints not to be used, never more than the floor of this host allows. */
    std::set<core::EndpointName> ejected(core::Instant now) const;

private:
    struct Sent
    {
        std::uint64_t sequence = 0;
        core::Instant at;
    };

    Floor floor;
    std::deque<Sent> sent;
    std::uint64_t answered = 0;
    std::uint64_t revision = 0; //!< of the latest answer to this report
    core::Instant end;
    std::vector<core::EndpointName> endpoints;
};

} // namespace damaskgate::health
