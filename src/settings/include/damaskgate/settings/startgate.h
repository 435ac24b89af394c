#pragma once

#include <optional>

#include "damaskgate/core/time.h"

#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Maximum time that a starting host waits for the revisions of other hosts. */
constexpr std::chrono::milliseconds MaxStartWait { 10'000 };

/**
 * Decides when a starting host may serve. The host has no settings from its previous run, and the
 * platform may be stale, so the host first learns which revision the other hosts have in force.
 */
class StartGate
{
public:
    /** @param maxWait time limit, after which the host serves with the settings that it has */
    explicit StartGate(core::Instant startedAt, core::Duration maxWait = MaxStartWait);

    /** Records that another host has @p revision in force. */
    void onPeerRevision(const Revision &revision);

    /** Records that enough other hosts have replied. */
    void onFleetContact();

    /** Records the revision in force in this host. */
    void onAccepted(const Revision &revision);

    /** @return whether the host may serve at @p now; once true, it stays true. */
    bool mayServe(core::Instant now);

private:
    bool hasCaughtUp() const;

    core::Instant waitUntil;
    bool hasFleetContact = false;
    bool isOpen = false;
    std::optional<Revision> highestPeerRevision;
    std::optional<Revision> inForce;
};

} // namespace damaskgate::settings
