#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

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
    core::DomainName domain {}; //!< failure domain of the candidate
    core::Duration silence {}; //!< time since the last contact with the candidate
};

/**
 * Decides whether this host is a reader, which reads the source itself. The hosts of a failure
 * domain are ranked by CPU quota, the largest first, and by a hash of their names within the same
 * quota. The hosts that are first in their domain are preferred to the second ones, and so on;
 * among hosts of the same rank the larger quota is preferred. The first TargetReaderCount hosts are
 * readers, in different failure domains if there are several, and announce changes to the others.
 *
 * A host becomes a reader when too few hosts that are preferred to it reach the source. While a
 * reader is left, it waits longer the more hosts are preferred to it. If none is left, the first
 * responsive host of each domain reads at once, since the preferred domains may be lost as a whole.
 */
class ReaderElection
{
public:
    static constexpr std::size_t TargetReaderCount = 2;
    /** A host counts as reaching the source for this long after its last contact with it. */
    static constexpr core::Duration MaxContactAge = std::chrono::milliseconds(1300);
    /** A reader that sends nothing for longer no longer counts as one. */
    static constexpr core::Duration MaxReaderSilence = std::chrono::milliseconds(800);
    /** A host of this domain that sends nothing for longer is not waited for. */
    static constexpr core::Duration MaxLocalSilence = std::chrono::milliseconds(1400);
    /** Delay of a host that is not preferred: BaseDelay + DelayPerRank * min(rank, MaxDelayedRank).
     */
    static constexpr core::Duration BaseDelay = std::chrono::milliseconds(150);
    static constexpr core::Duration DelayPerRank = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxDelayedRank = 16;

    /**
     * @param corePercent CPU quota of this host, in percent of one processor core
     * @param domain failure domain of this host
     */
    explicit ReaderElection(core::HostName self, std::uint8_t corePercent = 0,
                            core::DomainName domain = {});

    /** @return whether this host should read the source at @p now. */
    bool shouldRead(std::span<const ReaderCandidate> others, core::Instant now);

    /**
     * @return the time at which the last result of shouldRead() becomes outdated if nothing is
     *         heard until then; nothing while it depends on messages only
     */
    std::optional<core::Instant> nextDecisionAt() const;

    /** @return the number of responsive hosts of this domain that rank higher than this host. */
    std::size_t localRankAmong(std::span<const ReaderCandidate> others);

private:
    /** Hosts with a lower standing are preferred. */
    struct Standing
    {
        std::size_t localRank = 0; //!< number of hosts of its domain that rank higher
        std::size_t strengthRank = 0; //!< number of all hosts that rank higher

        auto operator<=>(const Standing &) const = default;
    };

    /** What the standing of a host depends on. */
    struct Strength
    {
        core::HostName name;
        std::uint8_t corePercent = 0;
        core::DomainName domain;

        bool operator==(const Strength &) const = default;
    };

    void updateStandings(std::span<const ReaderCandidate> others);
    bool isPreferred(const ReaderCandidate &other) const;
    bool isResponsive(const ReaderCandidate &other) const;
    std::size_t localRank(std::span<const ReaderCandidate> others) const;
    core::Duration delay(std::span<const ReaderCandidate> others, bool isAnyReaderActive) const;

    core::HostName self;
    std::uint8_t corePercent;
    core::DomainName domain;
    std::vector<Strength> rankedHosts; //!< other hosts to which the standings apply
    std::map<core::HostName, Standing> standings;
    Standing ownStanding;
    std::optional<core::Instant> tooFewReadersSince;
    std::optional<core::Instant> decisionOutdatedAt;
};

} // namespace damaskgate::mirror
