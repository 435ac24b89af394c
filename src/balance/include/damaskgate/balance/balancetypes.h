#pragma once

#include <array>
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
    Answered, //!< a whole answer below status 500
    ServerError, //!< a whole answer of status 500 or above, other than a shed
    Misdirected, //!< another endpoint has the address; the request did not run
    Shed, //!< the endpoint refused explicitly and did not run the request
    ConnectFailed, //!< no connection was made
    Timeout, //!< no whole answer in time
    BrokenOff, //!< the connection broke before the whole answer
    Cancelled, //!< the caller left; says nothing about the endpoint
};

/** @return the outcome as it stands in logs, such as `server-error`. */
constexpr std::string_view toText(Outcome outcome)
{
    constexpr std::array<std::string_view, 8> Texts { "answered",   "server-error",   "misdirected",
                                                      "shed",       "connect-failed", "timeout",
                                                      "broken-off", "cancelled" };
    return Texts[static_cast<std::size_t>(outcome)];
}

/** Load that an endpoint reports in its answers. It may lag or mislead. */
struct LoadReport
{
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    std::uint64_t incarnation = 0; //!< changes with each start of the endpoint
    std::uint32_t waiting = 0; //!< queued at the endpoint
};

/** What one exchange told about an endpoint. */
struct ExchangeReport
{
    Outcome outcome = Outcome::Answered;
    core::Duration latency {}; //!< from the first byte sent to the first byte received
    std::optional<LoadReport> load;
};

/** A request that waits for an endpoint. */
struct WorkRequest
{
    core::ServiceName service;
    core::WorkspaceName workspace; //!< empty on open routes
    bool isDeferrable = false;
    core::Instant deadline;
    std::vector<core::EndpointName> excluded; //!< endpoints that already failed this request
    std::string traceId {}; //!< of the request, for logs
    core::RouteName route {}; //!< empty when the requests of a service are all alike
    core::Duration latencyObjective {}; //!< zero: none
    bool isRetry = false; //!< an endpoint has got the request before
    bool isRepeatable = false; //!< may be tried at an endpoint that is likely to fail
};

/** A slot of an endpoint, held until it is released. */
struct SlotGrant
{
    std::uint64_t id = 0;
    core::ServiceName service;
    settings::Endpoint endpoint;
    core::Duration lateThreshold {}; //!< after which an answer is unusually late; zero: not known
};

} // namespace damaskgate::balance
