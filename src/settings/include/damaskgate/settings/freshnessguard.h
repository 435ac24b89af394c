#pragma once

#include <map>
#include <optional>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::settings {

constexpr std::chrono::milliseconds FreshnessLimit { 3000 };

/**
 * Decides until when this host may still rely on the keys it knows.
 * A host that hears neither the platform nor at least half of its sampled peers cannot learn that
 * a key was withdrawn.
 */
class FreshnessGuard
{
public:
    explicit FreshnessGuard(core::Duration limit = FreshnessLimit);

    /** Records an answer of the platform; @p sentAt is when its request was sent. */
    void onPlatformAnswered(core::Instant sentAt);

    /** Replaces the sampled peers; what was heard of those that stay is kept. */
    void setSampledPeers(std::span<const core::HostName> peers);

    /** Records a message from @p peer; hosts outside the sample are ignored. */
    void onPeerHeard(const core::HostName &peer, core::Instant now);

    /**
     * @return until when keyed requests may be admitted. Compare with the current time at every
     *         use: a process that was frozen wakes after this instant. Instant::max() when the
     *         sample is known to be empty, and the lowest instant before anything was heard.
     */
    core::Instant freshUntil() const;

    /** @return whether keyed requests may be admitted at @p now. */
    bool isFresh(core::Instant now) const;

private:
    std::optional<core::Instant> lastHeardFromHalf() const;

    core::Duration limit;
    bool isSampleKnown = false;
    std::optional<core::Instant> platformAnswered;
    std::map<core::HostName, std::optional<core::Instant>> peers;
};

} // namespace damaskgate::settings
