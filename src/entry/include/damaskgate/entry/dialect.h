#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/balance/balancetypes.h"

namespace damaskgate::entry {

/** Names and forms of what callers, entries and endpoints say to each other in HTTP fields. */
struct Dialect
{
    using ReadLoad = std::optional<balance::LoadReport> (*)(std::string_view text);
    using IsShed = bool (*)(unsigned status, std::string_view shedField);

    std::string ownFieldPrefix; //!< callers' fields of this prefix end at the entry
    std::string endpointFieldPrefix; //!< endpoints' fields of this prefix end at the entry
    std::vector<std::string> deliveredFields; //!< endpoints' fields that callers get all the same
    std::string keyScheme; //!< of the Authorization field that carries a key, with a blank
    std::string deadlineField; //!< milliseconds that are left
    std::string traceField;
    std::string exchangeField; //!< echoed by endpoints; empty: they echo the trace
    std::string verdictField; //!< of refusals
    std::string reasonField; //!< of refusals
    std::string hostField; //!< of refusals: the host to turn to
    std::string operationKeyField; //!< of callers
    std::string loadField; //!< of endpoints
    std::string shedField; //!< of endpoints that did not run a request
    std::string workspaceField; //!< tells endpoints whose request it is; empty: not told
    std::string expectedEndpointField; //!< names the only endpoint that may run it; empty: not told
    std::string signatureField; //!< without which a success is not an endpoint's; empty: unused
    bool isTargetForwardedVerbatim =
        false; //!< endpoints get the target byte for byte as it was sent
    bool isShedSafeToRetry =
        false; //!< a shed request has not run whatever the route; never runs later
    bool isVerdictInStatus = false; //!< the status alone tells that a request has not run
    bool isRetryAfterFractional = false;
    ReadLoad readLoad = nullptr;
    IsShed isShed = nullptr;
};

/** @return the project's own dialect, as docs/CALLERS.md tells it. */
const Dialect &ownDialect();

} // namespace damaskgate::entry
