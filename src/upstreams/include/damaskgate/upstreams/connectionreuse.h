#pragma once

#include <cstddef>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/**
 * Estimates whether this host holds an idle connection to an endpoint that its next request can
 * use, from its own starts and ends alone. Uses no clock.
 */
class ConnectionReuse
{
public:
    /** Time for which a request that may be repeated reuses a connection. */
    static constexpr core::Duration RepeatableIdleTime = std::chrono::seconds(8);
    /** The same for a request that may not be repeated, since a closed connection could lose it. */
    static constexpr core::Duration UnrepeatableIdleTime = std::chrono::milliseconds(900);

    /** Records that this host sends a request to the endpoint. */
    void onStarted();

    /** Records how the request ended. */
    void onEnded(balance::Outcome outcome, core::Instant now);

    /** @return whether a request can use an idle connection. */
    bool isReusable(bool isRepeatable, core::Instant now) const;

private:
    std::size_t idleCount = 0;
    core::Instant idleSince; //!< of the connection that was used last
};

} // namespace damaskgate::upstreams
