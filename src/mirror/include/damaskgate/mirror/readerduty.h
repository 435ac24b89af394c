#pragma once

#include <chrono>
#include <cstddef>
#include <optional>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/** Another host, as far as reading from the source concerns it. */
struct ReaderView
{
    core::HostName name;
    std::optional<core::Instant> sourceSeenAt; //!< when it last reached the source itself
};

/**
 * Decides whether this host reads from the source itself. A few hosts do, found by rank; the others
 * are told by them. A host steps in when too few of those before it in rank reach the source, after
 * a delay that rises with its rank.
 */
class ReaderDuty
{
public:
    static constexpr std::size_t WantedReaders = 2;
    static constexpr core::Duration FreshFor = std::chrono::milliseconds(1300);
    static constexpr core::Duration FirstDelay = std::chrono::milliseconds(150);
    static constexpr core::Duration DelayPerRank = std::chrono::milliseconds(50);
    static constexpr std::size_t MaxDelayedRank = 16;

    explicit ReaderDuty(core::HostName self);

    /** @return whether this host should read now. */
    bool shouldRead(std::span<const ReaderView> others, core::Instant now);

private:
    core::HostName self;
    std::optional<core::Instant> lackingSince;
};

} // namespace damaskgate::mirror
