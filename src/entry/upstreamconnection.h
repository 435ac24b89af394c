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

    asio::ip::tcp::socket socket;
    beast::flat_buffer buffer;
    asio::ip::tcp::endpoint remote;
    core::Instant idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace damaskgate::entry
