#include "damaskgate/upstreams/loadspreader.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

namespace damaskgate::upstreams {

namespace {

// Cost of an endpoint whose slots are all in use. It grows with the square of the slots in use,
// since few requests find all slots in use by chance.
constexpr double BusyCost = 0.25;

// Cost of each queue round before a request. A round is as many requests as the endpoint has slots.
constexpr double QueueCost = 0.1;

// Cost of a response that misses its latency objective. Some responses miss it when the expected
// latency is LateRatioMin times the objective, and nearly all when it is LateRatioMax times.
constexpr double LateResponseCost = 0.7;
constexpr double LateRatioMin = 0.7;
constexpr double LateRatioMax = 1.3;

// A place that costs this host less by this much gets e times the weight.
constexpr double OwnCostScale = 0.03;

constexpr std::size_t MaxExpectedRequests = 128; // bounds the work of one choice

// Returns the cost of a response whose expected latency is latencyRatio times its objective.
double lateResponseCost(double latencyRatio)
{
    return LateResponseCost
        * std::clamp((latencyRatio - LateRatioMin) / (LateRatioMax - LateRatioMin), 0.0, 1.0);
}

/** An endpoint with the requests that it is expected to get. */
struct Place
{
    double cost = 0; //!< of one more request
    std::size_t index = 0;

    bool operator>(const Place &other) const
    {
        return this->cost > other.cost;
    }
};

} // namespace

double loadCost(double inFlight, double slots, std::optional<double> latencyRatio)
{
    const double queueRounds = std::max(inFlight + 1 - slots, 0.0) / slots;
    const double busyFraction = std::min(inFlight / slots, 1.0);
    return BusyCost * busyFraction * busyFraction + QueueCost * queueRounds
        + (latencyRatio ? lateResponseCost(*latencyRatio * (1 + queueRounds)) : 0);
}

std::size_t chooseSpread(std::span<const SpreadCandidate> candidates,
                         std::optional<double> latencyRatio, std::size_t expectedRequests,
                         std::mt19937_64 &random)
{
    const auto costAt = [candidates, latencyRatio](std::size_t index, double expected) {
        const SpreadCandidate &candidate = candidates[index];
        return candidate.sharedCost
            + loadCost(candidate.inFlight + expected, candidate.slots, latencyRatio);
    };
    std::vector<Place> places;
    places.reserve(candidates.size());
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        places.push_back({ costAt(index, 0), index });
    }
    std::priority_queue<Place, std::vector<Place>, std::greater<>> cheapest(std::greater<> {},
                                                                            std::move(places));
    std::vector<double> weights(candidates.size(), 0);
    std::vector<std::size_t> expected(candidates.size(), 0);
    const std::size_t requests = std::clamp<std::size_t>(expectedRequests, 1, MaxExpectedRequests);
    for (std::size_t given = 0; given < requests; ++given) {
        const std::size_t index = cheapest.top().index;
        cheapest.pop();
        ++expected[index];
        weights[index] += std::exp(-candidates[index].ownCost / OwnCostScale);
        cheapest.push({ costAt(index, static_cast<double>(expected[index])), index });
    }
    std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
    return pick(random);
}

} // namespace damaskgate::upstreams
