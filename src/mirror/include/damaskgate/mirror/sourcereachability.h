#pragma once

#include <chrono>
#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/** Since when some host of the fleet has reached the source without a gap. Pure. */
class SourceReachability
{
public:
    /** A host that hears of a contact so soon after its start has not missed a gap. */
    static constexpr core::Duration StartupGracePeriod = std::chrono::milliseconds(1000);

    explicit SourceReachability(core::Instant startedAt);

    /** @return whether the contact was lost or regained. */
    bool update(bool isReached, core::Instant now);

    /** @return since when, or nothing while no host reaches the source. */
    std::optional<core::Instant> reachableSince() const;

private:
    core::Instant startedAt;
    std::optional<core::Instant> reachedSince;
    bool wasReached = false; //!< ever
};

} // namespace damaskgate::mirror
