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

/** Result of an exchange with the body of its answer. */
struct HttpAnswer
{
    ExchangeResult result;
    std::string body;
};

/** Sends requests over kept connections. Used on one thread. */
class HttpClient
{
public:
    explicit HttpClient(boost::asio::any_io_executor executor);

    /**
     * Sends @p request to @p address and reads the whole answer.
     *
     * @param requestId what the answer should echo; empty: not checked
     */
    boost::asio::awaitable<HttpAnswer> exchange(Address address, HttpRequest request,
                                                std::string requestId, core::Duration timeout);

private:
    using Stream = boost::beast::tcp_stream;

    std::unique_ptr<Stream> takeIdle(const Address &address);

    boost::asio::any_io_executor executor;
    std::map<Address, std::vector<std::unique_ptr<Stream>>> idle;
};

/**
 * Field that carries the id of a request. The id also ends the path, so that an upstream that
 * answers with either of them tells whose answer it is.
 */
inline constexpr char RequestIdField[] = "X-Request-Id";
inline constexpr char RequestIdPrefix[] = "load-";

} // namespace damaskgate::load
