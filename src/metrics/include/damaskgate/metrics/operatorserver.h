#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <nlohmann/json_fwd.hpp>

#include "damaskgate/core/error.h"

namespace damaskgate::metrics {

class Registry;

/**
 * Read-only HTTP server for operators: GET /metrics, /status and /events. The io_context must be
 * run by a single thread, on which the callbacks are called.
 */
class OperatorServer
{
public:
    using StatusCallback = std::function<nlohmann::json()>;
    using EventsCallback = std::function<std::vector<std::string>(std::size_t limit)>;

    OperatorServer(boost::asio::io_context &context, const Registry &registry);
    ~OperatorServer();

    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    /** Adds the member @p name to the JSON object of /status. Call before listen(). */
    void addStatus(std::string name, StatusCallback callback);

    /** Sets the source of the lines of /events. Call before listen(). */
    void setEvents(EventsCallback callback);

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
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::metrics
