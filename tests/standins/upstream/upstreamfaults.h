#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace damaskgate::standins {

/** Faults that an endpoint simulates; set at run time by `PUT /_faults`. */
struct UpstreamFaults
{
    std::chrono::milliseconds slow { 0 }; //!< added to the service time of each request
    std::chrono::milliseconds late { 0 }; //!< delay of each response after processing
    double errorRate = 0; //!< fraction of requests that get status 500
    bool isHanging = false; //!< requests are read and get no response
    bool isResetting = false; //!< connections are reset after the request was read
    bool isShedding = false; //!< requests are rejected with status 503 and Upstream-Shed
    bool isHealthReportFalse = false; //!< /health reports good health despite other faults
    bool isHealthFailing = false; //!< /health reports bad health
    bool isResponseDuplicated = false; //!< a second response follows each one
    bool isExchangeIdWrong = false; //!< responses carry the id of another exchange
    bool isResponseTruncated = false; //!< the connection is closed in the middle of the body
};

/**
 * Sets the members of @p faults that are named in @p document; sets none if one is invalid.
 *
 * @return an empty text, or a description of the first invalid member
 */
std::string applyFaults(UpstreamFaults &faults, const nlohmann::json &document);

} // namespace damaskgate::standins
