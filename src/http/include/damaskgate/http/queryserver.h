#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "damaskgate/core/error.h"

namespace damaskgate::http {

/** A GET request. */
struct Query
{
    std::string_view path;
    std::string_view parameters; //!< without the question mark
};

struct QueryResponse
{
    unsigned status = 200;
    std::string type = "text/plain"; //!< media type of the body
    std::string body;
};

/** @return the value of @p name in @p parameters as it was sent, or an empty text. */
std::string_view parameterOf(std::string_view parameters, std::string_view name);

/**
 * Answers short GET requests over HTTP. Runs on an io_context that a single thread runs; the
 * handler is called on that thread.
 */
class QueryServer
{
public:
    using Handler = std::function<QueryResponse(const Query &)>;

    QueryServer(boost::asio::io_context &context, Handler handler);
    ~QueryServer();

    QueryServer(const QueryServer &) = delete;
    QueryServer &operator=(const QueryServer &) = delete;

    /**
     * Starts to listen.
     *
     * @param address IP number
     * @param port zero: any free port
     * @return the port, or Internal with the cause
     */
    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** Closes the listener and all connections. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::http
