#include "endpointpicker.h"

#include <algorithm>
#include <limits>
#include <numeric>
#include <ranges>
#include <utility>
#include <vector>

namespace damaskgate::balance {

namespace {

constexpr std::chrono::milliseconds FirstAvoidanceTime { 500 };
constexpr std::uint32_t MaxAvoidanceDoublings = 5;

} // namespace

EndpointPicker::EndpointPicker(std::uint64_t firstSequence) : quotas(firstSequence) {}

void EndpointPicker::applySettings(const settings::Settings &settings,
                                   const settings::Service &service)
{
    this->slots = service.slots;
    this->candidates.clear();
    std::erase_if(this->avoidances, [&service](const auto &entry) {
        return !service.endpoints.contains(entry.first);
    });
    std::set<core::EndpointName> inService;
    for (const auto &[name, endpoint] : service.endpoints) {
        if (settings::isInService(settings, endpoint)) {
            this->candidates.emplace(name, endpoint);
            inService.insert(name);
        }
    }
    this->quotas.applySettings(service.rampTime, inService);
}

void EndpointPicker::setEjected(const std::set<core::EndpointName> &endpoints)
{
    for (const core::EndpointName &endpoint : this->ejected) {
        if (!endpoints.contains(endpoint)) {
            this->quotas.onReadmitted(endpoint);
        }
    }
    this->ejected = endpoints;
}

bool EndpointPicker::isCandidate(const core::EndpointName &endpoint,
                                 std::span<const core::EndpointName> excluded) const
{
    return !this->ejected.contains(endpoint)
        && std::ranges::find(excluded, endpoint) == excluded.end();
}

bool EndpointPicker::hasCandidate(std::span<const core::EndpointName> excluded) const
{
    return std::ranges::any_of(this->candidates | std::views::keys, [&](const auto &endpoint) {
        return this->isCandidate(endpoint, excluded);
    });
}

std::optional<core::EndpointName> EndpointPicker::pick(std::span<const core::EndpointName> excluded,
                                                       core::Instant now,
                                                       std::mt19937_64 &random) const
{
    using Rank = std::pair<bool, std::uint32_t>; // whether avoided, requests in flight
    Rank lowest { true, std::numeric_limits<std::uint32_t>::max() };
    std::vector<const core::EndpointName *> best;
    for (const auto &name : this->candidates | std::views::keys) {
        const std::uint32_t running = this->inFlight(name);
        const bool isFree = running < this->quotas.limit(name, this->slots, now);
        const Rank rank { this->isAvoided(name, now), running };
        if (!isFree || rank > lowest || !this->isCandidate(name, excluded)) {
            continue;
        }
        if (rank < lowest) {
            best.clear();
        }
        lowest = rank;
        best.push_back(&name);
    }
    if (best.empty()) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> index(0, best.size() - 1);
    return *best[index(random)];
}

settings::Endpoint EndpointPicker::acquire(const core::EndpointName &endpoint)
{
    ++this->inFlightCounts[endpoint];
    return this->candidates.at(endpoint);
}

void EndpointPicker::release(const core::EndpointName &endpoint)
{
    const auto found = this->inFlightCounts.find(endpoint);
    if (found != this->inFlightCounts.end() && --found->second == 0) {
        this->inFlightCounts.erase(found);
    }
}

void EndpointPicker::onOutcome(const core::EndpointName &endpoint, Outcome outcome,
                               core::Instant now)
{
    const bool isResponse = outcome == Outcome::Answered || outcome == Outcome::ServerError;
    const bool isUnreachable = outcome == Outcome::ConnectFailed || outcome == Outcome::Timeout
        || outcome == Outcome::BrokenOff;
    if (isResponse) {
        this->avoidances.erase(endpoint);
    }
    if (!isUnreachable) {
        return;
    }
    Avoidance &avoidance = this->avoidances[endpoint];
    avoidance.until =
        now + FirstAvoidanceTime * (1U << std::min(avoidance.failures, MaxAvoidanceDoublings));
    ++avoidance.failures;
}

bool EndpointPicker::isAvoided(const core::EndpointName &endpoint, core::Instant now) const
{
    const auto found = this->avoidances.find(endpoint);
    return found != this->avoidances.end() && now < found->second.until;
}

std::uint32_t EndpointPicker::inFlight(const core::EndpointName &endpoint) const
{
    const auto found = this->inFlightCounts.find(endpoint);
    return found == this->inFlightCounts.end() ? 0 : found->second;
}

std::uint32_t EndpointPicker::inFlight() const
{
    const auto counts = this->inFlightCounts | std::views::values;
    return std::accumulate(counts.begin(), counts.end(), std::uint32_t { 0 });
}

std::uint32_t EndpointPicker::slotsPerEndpoint() const
{
    return this->slots;
}

bool EndpointPicker::isWarm(const core::EndpointName &endpoint) const
{
    return this->quotas.isWarm(endpoint);
}

ColdSlotQuotas &EndpointPicker::coldSlotQuotas()
{
    return this->quotas;
}

} // namespace damaskgate::balance
