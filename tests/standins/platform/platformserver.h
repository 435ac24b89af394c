#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

namespace damaskgate::standins {

struct PlatformServerOptions
{
    std::string address = "127.0.0.1";
    std::uint16_t port = 0; //!< 0 selects any free port
    std::string directory;
    double callsPerSecond = 2000; //!< calls above this rate get status 429
};

/**
 * Stand-in for the platform: the read operations of Consul's KV HTTP API.
 *
 *   GET /v1/kv/KEY?raw[&index=N&wait=30s]
 *   PUT /_control/kv/KEY          sets a value (for tests)
 *   PUT /_control/faults          sets the faults, as JSON (for tests)
 *   GET /_stats                   call counters as JSON
 */
class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, PlatformServerOptions options);
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** Binds and serves; throws boost::system::system_error if the address is in use. */
    void start();

    /** Closes the listening socket and every connection. */
    void stop();

    /** @return the local port. */
    std::uint16_t port() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::standins
