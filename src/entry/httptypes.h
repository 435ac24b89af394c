#pragma once

#include <cstddef>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>

namespace damaskgate::entry {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

using RequestParser = http::request_parser<http::buffer_body>;
using ResponseParser = http::response_parser<http::buffer_body>;
using RequestHeader = http::request_header<>;
using ResponseHeader = http::response_header<>;

/** Completion token: the awaited operation returns its error code and does not throw. */
inline constexpr auto WithError = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t IoBufferSize = 16384; //!< size of body buffers in bytes

inline std::string_view toView(beast::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace damaskgate::entry
