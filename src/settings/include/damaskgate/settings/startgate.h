#pragma once

#include <optional>

#include "damaskgate/core/time.h"

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

constexpr std::chrono::milliseconds LongestStartWait { 10'000 };

/**
 * Decides when a starting host may serve. It kept nothing from before, and the platform may be
 * stale, so it first hears which revision the other hosts have in force.
 */
class StartGate
{
public:
    /** @param longestWait for other hosts; then the host serves with the settings that it has */
    explicit StartGate(core::Instant startedAt, core::Duration longestWait = LongestStartWait);

    /** Records that another host has @p revision in force. */
    void onRevisionHeard(const Revision &revision);

    /** Records that enough other hosts have answered. */
    void onFleetContact();

    /** Records the revision in force in this host. */
    void onAccepted(const Revision &revision);

    /** @return whether the host may serve at @p now; stays true once it was. */
    bool mayServe(core::Instant now);

private:
    bool hasCaughtUp() const;

    core::Instant waitUntil;
    bool hasContact = false;
    bool isOpen = false;
    std::optional<Revision> highestHeard;
    std::optional<Revision> inForce;
};

} // namespace damaskgate::settings
