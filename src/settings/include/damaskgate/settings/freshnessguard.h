#pragma once

#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::settings {

constexpr std::chrono::milliseconds FreshnessLimit { 3000 };

/**
 * Decides until when this host may still rely on the keys it knows.
 * A host that is in contact with neither the platform nor most of the fleet cannot learn that a key
 * was withdrawn.
 */
class FreshnessGuard
{
public:
    explicit FreshnessGuard(core::Duration limit = FreshnessLimit);

    /** Records an answer of the platform; @p sentAt is when its request was sent. */
    void onPlatformAnswered(core::Instant sentAt);

    /** Records contact with most of the fleet, proved by probes sent at @p provedAt or later. */
    void onFleetContact(core::Instant provedAt);

    /** Records how many other hosts the settings name. */
    void setOtherHosts(std::size_t count);

    /**
     * @return until when keyed requests may be admitted. Compare with the current time at every
     *         use: a process that was frozen wakes after this instant. Instant::max() when there is
     *         no other host, and Instant::min() before anything was heard.
     */
    core::Instant freshUntil() const;

    /** @return whether keyed requests may be admitted at @p now. */
    bool isFresh(core::Instant now) const;

private:
    core::Duration limit;
    std::optional<core::Instant> lastProof;
    std::optional<std::size_t> otherHosts;
};

} // namespace damaskgate::settings
