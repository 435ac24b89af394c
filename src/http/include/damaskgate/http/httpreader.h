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

/** HTTP client for GET requests to one server at a time, over a persistent connection. */
class HttpReader
{
public:
    struct Options
    {
        /** Limit for connecting, and for each wait for further bytes of a response. */
        std::chrono::milliseconds timeout { 2000 };
        std::size_t maxBodyBytes = 1048576;
        /** Limit for a request together with its response, however large. */
        std::chrono::milliseconds totalTimeout { 10000 };
    };

    HttpReader(boost::asio::io_context &context, Options options);

    /** Sets the server for later requests, and closes the connection to the previous one. */
    void setServer(std::string address, std::uint16_t port);

    /**
     * Sends a GET request for @p target.
     *
     * @param wait time by which the server may delay its response (long polling); added to both
     *        timeouts
     * @return the response, whatever its status, or Reason::PlatformUnavailable; the connection is
     * closed after an error
     */
    boost::asio::awaitable<core::Result<HttpResponse>>
    get(std::string target, std::chrono::milliseconds wait = std::chrono::milliseconds::zero());

    /** Closes the connection; a get() in progress fails. */
    void close();

private:
    boost::asio::awaitable<core::Result<HttpResponse>> exchange(std::string target,
                                                                std::chrono::milliseconds wait);
    boost::asio::awaitable<boost::system::error_code> connect();

    Options options;
    std::string address;
    std::uint16_t port = 0;
    /** Limit of received bytes that are not decoded yet, such as an incomplete chunk header. */
    static constexpr std::size_t MaxUnparsedBytes = 65536;

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer { MaxUnparsedBytes };
};

} // namespace damaskgate::http
