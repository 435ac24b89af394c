#pragma once

#include <optional>

#include "damaskgate/core/time.h"

namespace damaskgate::settings {

/**
 * Longest time since the last proven contact with the platform or most of the fleet during which
 * the known API keys are still accepted.
 */
constexpr std::chrono::milliseconds FreshnessLimit { 3000 };

/**
 * Decides until when this host may rely on the API keys that it knows.
 * A host that is in contact with neither the platform nor most of the fleet cannot learn that a key
 * was withdrawn.
 */
class FreshnessGuard
{
public:
    explicit FreshnessGuard(core::Duration limit = FreshnessLimit);

    /** Records a response of the platform to a request that was sent at @p sentAt. */
    void onPlatformAnswered(core::Instant sentAt);

    /** Records that most of the fleet replied to probes sent at @p probedAt or later. */
    void onFleetContact(core::Instant probedAt);

    /** Sets the number of other hosts that the settings name. */
    void setOtherHosts(std::size_t count);

    /**
     * Compare the result with the current time at every use: a suspended process can resume after
     * this instant.
     *
     * @return the time until which requests with a key may be admitted; Instant::max() when there
     *         is no other host, and Instant::min() before the first contact
     */
    core::Instant freshUntil() const;

    /** @return whether requests with a key may be admitted at @p now. */
    bool isFresh(core::Instant now) const;

private:
    core::Duration limit;
    std::optional<core::Instant> lastContactAt;
    std::optional<std::size_t> otherHosts;
};

} // namespace damaskgate::settings
