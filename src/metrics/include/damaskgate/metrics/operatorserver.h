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
 * Answers operators over HTTP: GET /metrics, /status and /events. Read-only. Runs on an io_context
 * that a single thread runs; callbacks are called on that thread.
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

    /** Adds a member @p name to the answer of /status. Call before listen(). */
    void addStatus(std::string name, StatusCallback callback);

    /** Sets where the lines of /events come from. Call before listen(). */
    void setEvents(EventsCallback callback);

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
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::metrics
