#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::balance {

/** How an exchange with an endpoint ended. */
enum class Outcome {
    Answered, //!< complete response with a status below 500
    ServerError, //!< complete response with status 500 or above, other than a shed
    Misdirected, //!< another endpoint now has this address; the request did not run
    Shed, //!< the endpoint refused the request explicitly and did not run it
    ConnectFailed, //!< no connection could be established
    Timeout, //!< no complete response within the time limit
    BrokenOff, //!< the connection was lost before the response was complete
    Cancelled, //!< the caller disconnected; no evidence about the endpoint
};

/** @return the name of the outcome in logs, such as `server-error`. */
constexpr std::string_view toText(Outcome outcome)
{
    constexpr std::array<std::string_view, 8> Texts { "answered",   "server-error",   "misdirected",
                                                      "shed",       "connect-failed", "timeout",
                                                      "broken-off", "cancelled" };
    return Texts[static_cast<std::size_t>(outcome)];
}

/** Load that an endpoint reports in its responses. It may be outdated or wrong. */
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    std::uint64_t incarnation = 0; //!< differs for each start of the endpoint
    std::uint32_t waiting = 0; //!< requests queued at the endpoint
};

/** What an endpoint announces about itself in a response, independent of the request. */
struct EndpointNotice
{
    bool isLeaving = false; //!< it will stop soon and is to get no further requests
    /** Time for which it wants no request from this host, after it has refused one. */
    std::optional<std::chrono::milliseconds> pause {};
    /** Limit of the requests per second from all hosts together; nothing: no limit. */
    std::optional<double> requestsPerSecond {};

    bool operator==(const EndpointNotice &) const = default;
};

/** Result of one exchange with an endpoint. */
struct ExchangeReport
{
    Outcome outcome = Outcome::Answered;
    core::Duration latency {}; //!< time from the first byte sent to the first byte received
    std::optional<LoadReport> load;
    std::optional<EndpointNotice> notice {}; //!< nothing if no response was received
    bool isRetried = false; //!< the attempt failed and the request is sent to another endpoint
};

/** Request for a slot of an endpoint. */
struct WorkRequest
{
    core::ServiceName service;
    core::WorkspaceName workspace; //!< empty on open routes
    bool isDeferrable = false;
    core::Instant deadline;
    std::vector<core::EndpointName> excluded; //!< endpoints that already failed this request
    std::string traceId {}; //!< trace id of the request for logs
    core::RouteName route {}; //!< empty: requests of the service are not distinguished by route
    core::Duration latencyObjective {}; //!< zero: no objective
    bool isRetry = false; //!< whether the request was sent to an endpoint before
    bool isRepeatable = false; //!< whether it may be sent to an endpoint that is likely to fail
    bool isSpeculative = false; //!< sent beside an attempt in progress
    std::uint32_t priority = 0; //!< requests with the lowest value go first
    /** When a response still meets the objective; the maximum: there is no objective. */
    core::Instant objectiveAt = core::Instant::max();
};

/** Slot of an endpoint, held until IBalancer::release(). */
struct SlotGrant
{
    std::uint64_t id = 0;
    core::ServiceName service;
    settings::Endpoint endpoint;
    core::Duration lateThreshold {}; //!< a response that takes longer is late; zero: not known
};

} // namespace damaskgate::balance
