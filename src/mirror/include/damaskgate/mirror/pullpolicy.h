#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/**
 * Decides whom this host asks for changes that others tell of, and when. A few hosts of each
 * failure domain ask across domains at once; the others wait a little for one of their own domain,
 * so that a large change crosses domains a few times only. Pure: knows neither clock nor network.
 */
class PullPolicy
{
public:
    static constexpr core::Duration RemotePullDelay =
        std::chrono::milliseconds(300); // two near fetches
    static constexpr std::size_t RemotePullers =
        2; //!< hosts of a failure domain, should one be down

    /** Sets whether this host asks hosts of other failure domains at once. */
    void setPullingRemotely(bool isPullingRemotely);

    /**
     * Notes that @p host holds @p revision.
     *
     * @param isNear whether it is of this failure domain
     * @param held the revision that this host holds
     */
    void onRevisionAnnounced(const core::HostName &host, std::uint64_t revision, bool isNear,
                             std::uint64_t held, core::Instant now);

    /** Notes that @p host did not tell what it promised. */
    void onPullFailed(const core::HostName &host);

    /** @return the host to ask now, or nothing. */
    std::optional<core::HostName> hostToPullFrom(std::uint64_t held, core::Instant now) const;

private:
    struct Offer
    {
        core::HostName host;
        std::uint64_t revision = 0;
        core::Instant since; //!< when this host began to lack what was offered
    };

    bool isPullingRemotely = false;
    std::optional<Offer> near;
    std::optional<Offer> far;
};

} // namespace damaskgate::mirror
