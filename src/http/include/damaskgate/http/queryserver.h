#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "damaskgate/core/error.h"

namespace damaskgate::http {

/** Target of a GET request, split at the question mark. */
struct Query
{
    std::string_view path;
    std::string_view parameters; //!< query string without the question mark
};

struct QueryResponse
{
    unsigned status = 200;
    std::string type = "text/plain"; //!< media type of the body
    std::string body;
    std::map<std::string, std::string> fields {}; //!< further fields of the response
};

/** @return the value of the parameter @p name, not percent-decoded; empty if it is missing. */
std::string_view parameterOf(std::string_view parameters, std::string_view name);

/**
 * HTTP server for GET requests with small responses. The io_context must be run by a single thread,
 * on which the handler is called.
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
     * Starts listening.
     *
     * @param address numeric IP address
     * @param port zero selects a free port
     * @return the port that is listened on, or Reason::Internal with the cause
     */
    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);

    /** Closes the listener and all connections. */
    void close();

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::http
