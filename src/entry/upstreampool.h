#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "upstreamconnection.h"

namespace damaskgate::entry {

/** Keeps connections to endpoints between exchanges. */
class UpstreamPool
{
public:
    /**
     * Takes a connection that has been idle for at most @p maxIdle and on which nothing was
     * received since its last exchange.
     *
     * @return null when there is none
     */
    UpstreamConnectionPtr acquire(const asio::ip::tcp::endpoint &remote, core::Instant now,
                                  core::Duration maxIdle);

    /** Keeps @p connection, whose exchange must have ended cleanly. */
    void release(UpstreamConnectionPtr connection, core::Instant now);

    /** Closes connections that have been idle for long. */
    void closeIdle(core::Instant now);

    void closeAll();

private:
    using Idle = std::vector<UpstreamConnectionPtr>;

    std::map<asio::ip::tcp::endpoint, Idle> idle; //!< longest idle first
};

} // namespace damaskgate::entry
