#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::entry {

/** Names and formats of the HTTP fields exchanged between callers, entry hosts and endpoints. */
struct Dialect
{
    using ReadLoad = std::optional<balance::LoadReport> (*)(std::string_view text);
    using IsShed = bool (*)(unsigned status, std::string_view shedField);

    std::string ownFieldPrefix; //!< request and response fields with this prefix are not forwarded
    std::string endpointFieldPrefix; //!< response fields with this prefix are not forwarded
    std::vector<std::string> deliveredFields; //!< response fields forwarded despite their prefix
    std::string keyScheme; //!< scheme of an Authorization field with a key, with trailing space
    std::string deadlineField; //!< request field: remaining time in milliseconds
    std::string traceField; //!< request and response field: trace id
    std::string exchangeField; //!< exchange id that endpoints echo; empty: they echo the trace id
    std::string verdictField; //!< field of refusals
    std::string reasonField; //!< field of refusals
    std::string hostField; //!< field of refusals: host that owns the operation ticket
    std::string operationKeyField; //!< field of callers' requests; empty: unsupported
    std::string loadField; //!< response field: load of the endpoint
    std::string shedField; //!< response field: the endpoint did not run the request
    std::string leavingField; //!< response field: the endpoint stops soon; empty: not sent
    std::string rateLimitField; //!< response field: requests per second that the endpoint takes
                                //!< from all hosts together; empty: not sent
    std::string workspaceField; //!< request field: workspace, for endpoints; empty: not sent
    std::string expectedEndpointField; //!< request field: sole endpoint allowed to run the request;
                                       //!< empty: not sent
    std::string signatureField; //!< field required in 2xx responses; empty: none required
    bool isTraceEchoRequired = false; //!< every final response echoes traceField
    bool isTargetForwardedVerbatim = false; //!< endpoints get the request target byte for byte
    bool isShedSafeToRetry = false; //!< shed requests never run later, so any route may retry them
    bool isVerdictInStatus = false; //!< the status code alone distinguishes not-run requests
    bool isRetryAfterFractional = false; //!< Retry-After has milliseconds as decimals of a second
    ReadLoad readLoad = nullptr;
    IsShed isShed = nullptr;
};

/** @return the project's own dialect, as documented in docs/CALLERS.md. */
const Dialect &ownDialect();

} // namespace damaskgate::entry
