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

/** Another host, as far as reading from the source concerns it. */
struct ReaderCandidate
{
    core::HostName name;
    std::optional<core::Instant> sourceReachedAt; //!< when it last reached the source itself
    std::uint8_t corePercent = 0; //!< of a processor core that it may use
};

/**
 * Decides whether this host reads from the source itself. A few hosts do, found by rank among the
 * strongest first; the others are told by them. A host steps in when too few of those before it in
 * rank reach the source, after a delay that rises with its rank.
 */
class ReaderElection
{
public:
    static constexpr std::size_t TargetReaderCount = 2;
    static constexpr core::Duration MaxContactAge = std::chrono::milliseconds(1300);
    static constexpr core::Duration BaseDelay = std::chrono::milliseconds(150);
    static constexpr core::Duration DelayPerRank = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxDelayedRank = 16;

    /** @param corePercent of a processor core that this host may use */
    explicit ReaderElection(core::HostName self, std::uint8_t corePercent = 0);

    /** @return how many of @p others go before this host in rank. */
    std::size_t rankAmong(std::span<const ReaderCandidate> others) const;

    /** @return whether this host should read now. */
    bool shouldRead(std::span<const ReaderCandidate> others, core::Instant now);

private:
    std::set<core::HostName> hostsBefore(std::span<const ReaderCandidate> others) const;

    core::HostName self;
    std::uint8_t corePercent;
    std::optional<core::Instant> lackingSince;
};

} // namespace damaskgate::mirror
