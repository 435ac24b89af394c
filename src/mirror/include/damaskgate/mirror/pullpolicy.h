#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/**
 * Decides when this host pulls changes that other hosts announced, and from which host. A few hosts
 * of each failure domain pull from other failure domains at once. The others first wait for a host
 * of their own failure domain, so that a large change crosses failure domains only a few times. The
 * policy uses neither the clock nor the network.
 */
class PullPolicy
{
public:
    /** Delay before a pull from a remote host, long enough for two pulls from local hosts. */
    static constexpr core::Duration RemotePullDelay = std::chrono::milliseconds(300);
    /** Hosts per failure domain that pull from remote hosts at once: one, and one in reserve. */
    static constexpr std::size_t RemotePullers = 2;

    /** Sets whether this host pulls from hosts of other failure domains without a delay. */
    void setPullingRemotely(bool isPullingRemotely);

    /**
     * Records that @p host announced that it holds @p revision.
     *
     * @param isLocal whether @p host is in the same failure domain as this host
     * @param heldRevision revision that this host holds
     */
    void onRevisionAnnounced(const core::HostName &host, std::uint64_t revision, bool isLocal,
                             std::uint64_t heldRevision, core::Instant now);

    /** Discards the announcement of @p host after a pull from it failed or brought no change. */
    void onPullFailed(const core::HostName &host);

    /**
     * @param heldRevision revision that this host holds
     * @return the host to pull from now, or nothing
     */
    std::optional<core::HostName> hostToPullFrom(std::uint64_t heldRevision,
                                                 core::Instant now) const;

private:
    struct Announcement
    {
        core::HostName host;
        std::uint64_t revision = 0;
        core::Instant behindSince; //!< When this host first lacked an announced revision
    };

    bool isPullingRemotely = false;
    std::optional<Announcement> localAnnouncement;
    std::optional<Announcement> remoteAnnouncement;
};

} // namespace damaskgate::mirror
