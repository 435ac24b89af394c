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

/** Size and timing of an endpoint. */
struct UpstreamOptions
{
    std::size_t slots = 6; //!< requests worked on at the same time
    std::chrono::milliseconds service { 5 }; //!< for one request
    std::chrono::milliseconds connectCost { 1 }; //!< for a new connection
    std::chrono::milliseconds probeCost { 25 }; //!< for a health probe
    std::size_t maxConnections = 400;
    std::size_t queueLimit = 64; //!< waiting requests; more are shed
    std::string keyMarker = "dgk-"; //!< begins every key that is used against this endpoint
};

/** What an endpoint has seen. */
struct UpstreamStats
{
    std::uint64_t requests = 0; //!< whose work began
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0; //!< the connection was closed before the answer
    std::uint64_t malformed = 0; //!< no whole request could be read
    std::uint64_t probes = 0;
    std::uint64_t keysSeen = 0; //!< requests that carried a key
    std::uint64_t withoutDeadline = 0;
    std::uint64_t bodyBytes = 0;
    std::uint64_t connectionsMade = 0;
    std::uint64_t connectionsRefused = 0;
    std::size_t connectionsPeak = 0;
    std::size_t inFlightPeak = 0;
    std::size_t coldPeak = 0; //!< requests in flight while it was cold
    std::uint64_t operationsRepeated = 0; //!< work that began for a key seen before
    std::map<std::string, std::uint64_t> operations; //!< work begun by Operation-Key
};

/** An HTTP endpoint with a number of slots that can be made to misbehave. */
class UpstreamEndpoint : public std::enable_shared_from_this<UpstreamEndpoint>
{
public:
    UpstreamEndpoint(boost::asio::io_context &ioContext, UpstreamOptions options);

    /** @return the port listened on; throws boost::system::system_error. */
    std::uint16_t listen(const std::string &address, std::uint16_t port);

    /** Stops accepting and closes every connection. */
    void stop();

    /** Starts anew with one usable slot; all are usable after @p ramp. */
    void turnCold(std::chrono::milliseconds ramp);

    /** Queues for a slot. @return false when the request is shed */
    boost::asio::awaitable<bool> enter();

    /** Gives the slot back. */
    void leave();

    /** @return how long the next request takes; longer with more requests than a cold one bears. */
    std::chrono::milliseconds serviceTime() const;

    /** @return the value of the Upstream-Load field. */
    std::string loadText() const;

    /** @return the statistics as JSON. */
    std::string statsJson() const;

    /** @return whether the next request is to fail. */
    bool drawError();

    /** Counts work that begins. */
    void noteWork(const std::string &operationKey);

    UpstreamOptions options;
    UpstreamFaults faults;
    UpstreamStats stats;

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket);
    std::size_t usableSlots() const;
    bool isCold() const;
    void occupy();

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
