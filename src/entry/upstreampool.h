#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "upstreamconnection.h"

namespace damaskgate::entry {

/** Pool of idle connections to endpoints. */
class UpstreamPool
{
public:
    /**
     * Removes a connection to @p remote from the pool. The connection has been idle for at most
     * @p maxIdle and has received nothing since its last exchange.
     *
     * @return the connection, or null if there is none
     */
    UpstreamConnectionPtr acquire(const asio::ip::tcp::endpoint &remote, core::Instant now,
                                  core::Duration maxIdle);

    /** Adds @p connection to the pool; its last exchange must be complete. */
    void release(UpstreamConnectionPtr connection, core::Instant now);

    /** Closes connections that have exceeded the maximum idle time. */
    void closeIdle(core::Instant now);

    void closeAll();

private:
    using Idle = std::vector<UpstreamConnectionPtr>;

    std::map<asio::ip::tcp::endpoint, Idle>
        idle; //!< each list is ordered by idle time, longest first
};

} // namespace damaskgate::entry
