#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "damaskgate/core/error.h"

namespace damaskgate::http {

using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/** Reads from one HTTP server at a time over a connection that is kept. */
class HttpReader
{
public:
    struct Options
    {
        std::chrono::milliseconds timeout { 2000 }; //!< to connect, and to an answer
        std::size_t maxBodyBytes = 1048576;
    };

    HttpReader(boost::asio::io_context &context, Options options);

    /** Turns to another server; closes the connection to the former one. */
    void setServer(std::string address, std::uint16_t port);

    /**
     * Gets @p target.
     *
     * @param wait how long the server may hold the answer back, beyond the timeout
     * @return the answer of any status; fails with PlatformUnavailable, and closes the connection
     */
    boost::asio::awaitable<core::Result<HttpResponse>>
    get(std::string target, std::chrono::milliseconds wait = std::chrono::milliseconds::zero());

    /** Ends the call under way. */
    void close();

private:
    boost::asio::awaitable<core::Result<HttpResponse>> exchange(std::string target,
                                                                std::chrono::milliseconds timeout);
    boost::asio::awaitable<boost::system::error_code> connect();

    Options options;
    std::string address;
    std::uint16_t port = 0;
    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
};

} // namespace damaskgate::http
