#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/** Another host that may be elected as reader. */
struct ReaderCandidate
{
    core::HostName name;
    /** Last time that the candidate reached the source itself. */
    std::optional<core::Instant> sourceReachedAt;
    std::uint8_t corePercent = 0; //!< CPU quota, in percent of one processor core
};

/**
 * Decides whether this host is a reader, which reads the source itself. Hosts are ranked by CPU
 * quota, the largest first, and by a hash of their names within the same quota. The first
 * TargetReaderCount hosts are readers and announce changes to the others. A host of a lower rank
 * becomes a reader when too few hosts of a higher rank reach the source, after a delay that grows
 * with its rank.
 */
class ReaderElection
{
public:
    static constexpr std::size_t TargetReaderCount = 2;
    /** A host counts as reaching the source for this long after its last contact with it. */
    static constexpr core::Duration MaxContactAge = std::chrono::milliseconds(1300);
    /** Delay of a lower-ranked host: BaseDelay + DelayPerRank * min(rank, MaxDelayedRank). */
    static constexpr core::Duration BaseDelay = std::chrono::milliseconds(150);
    static constexpr core::Duration DelayPerRank = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxDelayedRank = 16;

    /** @param corePercent CPU quota of this host, in percent of one processor core */
    explicit ReaderElection(core::HostName self, std::uint8_t corePercent = 0);

    /** @return the number of @p others that rank higher than this host. */
    std::size_t rankAmong(std::span<const ReaderCandidate> others) const;

    /** @return whether this host should read the source at @p now. */
    bool shouldRead(std::span<const ReaderCandidate> others, core::Instant now);

private:
    std::set<core::HostName> higherRankedHosts(std::span<const ReaderCandidate> others) const;

    core::HostName self;
    std::uint8_t corePercent;
    std::optional<core::Instant> tooFewReadersSince;
};

} // namespace damaskgate::mirror
