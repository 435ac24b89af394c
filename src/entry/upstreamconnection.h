#pragma once

#include <memory>

#include "damaskgate/core/time.h"

#include "httptypes.h"

namespace damaskgate::entry {

/** A connection to an endpoint; carries one exchange at a time. */
struct UpstreamConnection
{
    explicit UpstreamConnection(const asio::any_io_executor &executor) : socket(executor) {}

    void close()
    {
        error_code ignored;
        this->socket.close(ignored);
    }

    /**
     * Closes at once and drops what was written but has not arrived. A plain close would still
     * deliver it, also seconds later when a network partition has healed.
     */
    void reset()
    {
        error_code ignored;
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->close();
    }

    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer;
    asio::ip::tcp::endpoint remote;
    core::Instant idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace damaskgate::entry
