#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include <nlohmann/json_fwd.hpp>

namespace damaskgate::standins {

/** How an endpoint misbehaves; switched at run time by `PUT /_faults`. */
struct UpstreamFaults
{
    std::chrono::milliseconds slow { 0 }; //!< added to each request
    std::chrono::milliseconds late { 0 }; //!< between the end of the work and the answer
    double errorRate = 0; //!< fraction of requests answered with status 500
    bool isHanging = false; //!< requests are read and never answered
    bool isResetting = false; //!< connections are reset after the request was read
    bool isShedding = false; //!< requests are refused explicitly
    bool isLyingOnHealth = false; //!< the health endpoint reports good health all the same
    bool isHealthFailing = false; //!< the health endpoint reports bad health
    bool isAnsweringTwice = false; //!< a second copy of each answer follows
    bool isAnsweringOther = false; //!< answers name another exchange
    bool isCutting = false; //!< answers break off in the middle
};

/**
 * Changes the members of @p faults that @p document names.
 *
 * @return an empty text, or what is wrong with the document
 */
std::string applyFaults(UpstreamFaults &faults, const nlohmann::json &document);

} // namespace damaskgate::standins
