#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_set>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "upstreamfaults.h"

namespace damaskgate::standins {

/** Capacity and timing of an endpoint. */
struct UpstreamOptions
{
    std::size_t slots = 6; //!< requests processed at the same time
    std::chrono::milliseconds service { 5 }; //!< time to process one request
    std::chrono::milliseconds connectCost { 1 }; //!< time to set up a connection
    std::chrono::milliseconds probeCost { 25 }; //!< time to respond to a health probe
    std::size_t maxConnections = 400;
    std::size_t queueLimit = 64; //!< limit of requests waiting for a slot; others are shed
    std::string keyMarker = "dgk-"; //!< prefix of every workspace key in use; detects leaked keys
};

/** Counters of an endpoint. */
struct UpstreamStats
{
    std::uint64_t requests = 0; //!< requests whose processing started
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; //!< requests whose connection was closed before the response
    std::uint64_t malformed = 0; //!< requests that were incomplete or could not be parsed
    std::uint64_t probes = 0;
    std::uint64_t keysSeen = 0; //!< requests that contained a workspace key
    std::uint64_t withoutDeadline = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t connectionsMade = 0;
    std::uint64_t connectionsRefused = 0;
    std::size_t connectionsPeak = 0;
    std::size_t inFlightPeak = 0;
    std::size_t coldPeak = 0; //!< most requests in flight while the endpoint was cold
    std::uint64_t operationsRepeated = 0; //!< requests with a repeated Operation-Key
    std::map<std::string, std::uint64_t> operations; //!< requests by Operation-Key
};

/** HTTP endpoint with a limited number of slots and simulated faults. */
class UpstreamEndpoint : public std::enable_shared_from_this<UpstreamEndpoint>
{
public:
    UpstreamEndpoint(boost::asio::io_context &ioContext, UpstreamOptions options);

    /** @return the local port; throws boost::system::system_error if the address is in use. */
    std::uint16_t listen(const std::string &address, std::uint16_t port);

    /** Stops accepting and closes every connection. */
    void stop();

    /** Simulates a restart: one slot is usable at first, all of them after @p ramp. */
    void restartCold(std::chrono::milliseconds ramp);

    /** Waits for a slot. @return false if the request is shed. */
    boost::asio::awaitable<bool> acquireSlot();

    /** Releases a slot and passes it to the next waiting request. */
    void releaseSlot();

    /** @return the time to process a request; it rises when a cold endpoint is overloaded. */
    std::chrono::milliseconds serviceTime() const;

    /** @return the value of the Upstream-Load field. */
    std::string loadFieldValue() const;

    /** @return the counters as JSON. */
    std::string statsJson() const;

    /** @return whether the next request fails, drawn with the configured error rate. */
    bool shouldFailNext();

    /** Counts a request whose processing starts. */
    void countRequest(const std::string &operationKey);

    UpstreamOptions options;
    UpstreamFaults faults;
    UpstreamStats stats;

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    std::size_t usableSlots() const;
    bool isCold() const;
    void occupySlot();

    boost::asio::io_context &ioContext;
    boost::asio::ip::tcp::acceptor acceptor;
    std::unordered_set<std::shared_ptr<boost::asio::ip::tcp::socket>> connections;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> waiting;
    std::mt19937_64 random { 1 };
    std::chrono::steady_clock::time_point startedAt = std::chrono::steady_clock::now();
    std::chrono::milliseconds ramp { 0 };
    std::uint64_t incarnation;
    std::size_t inFlight = 0;
};

} // namespace damaskgate::standins
