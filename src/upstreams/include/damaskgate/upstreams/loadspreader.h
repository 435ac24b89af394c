#pragma once

#include <cstddef>
#include <optional>
#include <random>
#include <span>

namespace damaskgate::upstreams {

/** Costs are relative to a failed request, which costs 1. */
struct SpreadCandidate
{
    double sharedCost = 0; //!< for all hosts, without the cost of the load
    double ownCost = 0; //!< for this host only, such as another failure domain
    double inFlight = 0; //!< requests of all hosts, as this host knows
    double slots = 1;
};

/**
 * @param inFlight requests at an endpoint
 * @param latencyRatio typical latency divided by the latency objective; nothing: no objective
 * @return cost of one more request at an endpoint with @p slots slots
 */
double loadCost(double inFlight, double slots, std::optional<double> latencyRatio);

/**
 * Chooses an endpoint by counts that are a little old, while other hosts choose by the same ones.
 *
 * Answers many hosts that find the same endpoint idle and overrun it, while the next ones idle. The
 * requests that all hosts are expected to send before they learn of each other are given to the
 * endpoints one by one where the cost is least. The request goes to one of these places at random,
 * with more weight where it costs this host less. So the hosts together fill the endpoints evenly,
 * each without a message.
 *
 * @param candidates at least one
 * @param expectedRequests of all hosts until they learn of each other, with this one
 * @return index of the chosen candidate
 */
std::size_t chooseSpread(std::span<const SpreadCandidate> candidates,
                         std::optional<double> latencyRatio, std::size_t expectedRequests,
                         std::mt19937_64 &random);

} // namespace damaskgate::upstreams
