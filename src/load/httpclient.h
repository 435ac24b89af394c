#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "damaskgate/core/time.h"
#include "damaskgate/load/exchange.h"
#include "damaskgate/load/experiment.h"

namespace damaskgate::load {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** Result of an exchange and the body of its response. */
struct HttpResponse
{
    ExchangeResult result;
    std::string body;
};

/** HTTP client that reuses idle connections. Used on one thread. */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::any_io_executor executor);

    /**
     * Sends @p request to @p address and reads the complete response.
     *
     * @param requestId id that the response should carry; empty if none is expected
     */
    boost::asio::awaitable<HttpResponse> exchange(Address address, HttpRequest request,
                                                  std::string requestId, core::Duration timeout);

private:
    using Stream = boost::beast::tcp_stream;

    std::unique_ptr<Stream> popIdle(const Address &address);

    boost::asio::any_io_executor executor;
    std::map<Address, std::vector<std::unique_ptr<Stream>>> idle;
};

/**
 * HTTP field with the id of a request. The id is also the last segment of the path, so that a
 * response that repeats either of them can be matched to its request.
 */
inline constexpr char RequestIdField[] = "X-Request-Id";
inline constexpr char RequestIdPrefix[] = "load-";

} // namespace damaskgate::load
