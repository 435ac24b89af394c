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
    std::uint16_t port = 0; //!< zero: any free one
    std::string directory;
    double callsPerSecond = 2000; //!< beyond this, calls are answered with 429
};

/**
 * Stand-in for the platform: the reading half of Consul's KV HTTP API.
 *
 *   GET /v1/kv/KEY?raw[&index=N&wait=30s]
 *   PUT /_control/kv/KEY          sets a value (test side)
 *   PUT /_control/faults          JSON, see docs of the stand-in (test side)
 *   GET /_stats                   counts of calls
 */
class PlatformServer
{
public:
    PlatformServer(boost::asio::io_context &context, PlatformServerOptions options);
    ~PlatformServer();

    PlatformServer(const PlatformServer &) = delete;
    PlatformServer &operator=(const PlatformServer &) = delete;

    /** Binds and serves; throws boost::system::system_error when the address is taken. */
    void start();

    /** Closes the listening socket and every connection. */
    void stop();

    /** @return the port that is served. */
    std::uint16_t port() const;

private:
    class Impl;
    std::shared_ptr<Impl> impl;
};

} // namespace damaskgate::standins
