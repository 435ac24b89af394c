#pragma once

#include <memory>

#include "damaskgate/core/time.h"
#include "damaskgate/http/checkedstream.h"

#include "httptypes.h"

namespace damaskgate::entry {

using UpstreamStream = damaskgate::http::CheckedStream<asio::ip::tcp::socket>;

/** Connection to an endpoint; used for one exchange at a time. */
struct UpstreamConnection
{
    explicit UpstreamConnection(const asio::any_io_executor &executor) : socket(executor) {}

    void close()
    {
        error_code ignored;
        this->socket.close(ignored);
    }

    /**
     * Closes immediately and discards data that was written but not yet delivered. After a plain
     * close the kernel would still deliver it, even seconds later when a network partition ends.
     */
    void reset()
    {
        error_code ignored;
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        this->close();
    }

    asio::ip::tcp::socket socket;
    UpstreamStream stream { this->socket }; //!< for all messages
    beast::flat_buffer buffer;
    asio::ip::tcp::endpoint remote;
    core::Instant idleSince;
};

using UpstreamConnectionPtr = std::shared_ptr<UpstreamConnection>;

} // namespace damaskgate::entry
