#include "coldlease.h"

#include <algorithm>

namespace damaskgate::balance {

namespace {

constexpr std::size_t EndpointsPerRequest = 8; //!< keeps the datagram below 1,200 bytes
constexpr std::size_t SentLimit = 64; //!< requests whose answers are still accepted
constexpr std::uint32_t DoubtfulLimit = 1;
constexpr std::uint64_t RoundsPerFullReport = 10; //!< other rounds leave out warm endpoints
constexpr std::chrono::seconds ConfirmedTime { 2 }; //!< for which a sign of being warm is good

} // namespace

ColdLease::ColdLease(std::uint64_t firstSequence) : sequence(firstSequence) {}

void ColdLease::applySettings(core::Duration newRamp, const std::set<core::EndpointName> &endpoints)
{
    this->ramp = newRamp;
    std::erase_if(this->states,
                  [&](const auto &entry) { return !endpoints.contains(entry.first); });
    std::ranges::for_each(endpoints, [this](const auto &endpoint) { this->states[endpoint]; });
}

std::uint32_t ColdLease::limit(const core::EndpointName &endpoint, std::uint32_t slots,
                               core::Instant now) const
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end()) {
        return 0;
    }
    const State &state = found->second;
    if (this->ramp == core::Duration::zero()) {
        return slots;
    }
    const bool isWarm = state.warmupState == WarmupState::Warm;
    if (isWarm && now < state.confirmedAt + ConfirmedTime) {
        return slots;
    }
    if (isWarm || state.warmupState == WarmupState::Doubtful) {
        return std::min(slots, DoubtfulLimit);
    }
    return now < state.quotaEnd ? std::min(slots, state.quota) : 0;
}

void ColdLease::change(State &state, WarmupState warmupState)
{
    state.warmupState = warmupState;
    state.changedAt = this->sequence + 1;
}

void ColdLease::onAnswer(const core::EndpointName &endpoint,
                         std::optional<std::uint64_t> incarnation, core::Instant now)
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end()) {
        return;
    }
    State &state = found->second;
    const bool isNew = incarnation && state.incarnation != 0 && state.incarnation != *incarnation;
    state.incarnation = incarnation.value_or(state.incarnation);
    if (isNew) {
        state.servedFor = {};
        state.quota = 0;
        this->change(state, WarmupState::Cold);
        return;
    }
    state.confirmedAt = now;
    if (state.warmupState == WarmupState::Doubtful) {
        this->change(state, WarmupState::Warm);
    }
}

void ColdLease::onConnectionLost(const core::EndpointName &endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end() && found->second.warmupState == WarmupState::Warm) {
        this->change(found->second, WarmupState::Doubtful);
    }
}

void ColdLease::onReadmitted(const core::EndpointName &endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end()) {
        found->second.servedFor = {};
        found->second.quota = 0;
        this->change(found->second, WarmupState::Cold);
    }
}

std::vector<SlotRequest>
ColdLease::makeRequests(const core::ServiceName &service, core::Instant now,
                        const std::function<Counts(const core::EndpointName &)> &counts)
{
    std::vector<SlotRequest> requests;
    const bool isFull = this->round++ % RoundsPerFullReport == 0;
    for (const auto &[endpoint, state] : this->states) {
        const bool isSettled =
            state.warmupState == WarmupState::Warm && state.changedAt <= state.appliedSequence;
        if (this->ramp == core::Duration::zero() || (isSettled && !isFull)) {
            continue;
        }
        if (requests.empty() || requests.back().endpoints.size() == EndpointsPerRequest) {
            requests.push_back({ service, ++this->sequence, {} });
            this->sent.push_back({ this->sequence, now });
        }
        const Counts count = counts(endpoint);
        const std::uint32_t quota = now < state.quotaEnd ? state.quota : 0;
        requests.back().endpoints.push_back(
            { endpoint, state.warmupState, state.servedFor, state.incarnation, state.appliedLeaseId,
              state.appliedSequence, quota, count.inFlight, count.wanted });
    }
    while (this->sent.size() > SentLimit) {
        this->sent.pop_front();
    }
    return requests;
}

void ColdLease::onAnswer(const SlotReply &answer, core::Instant now)
{
    const auto request = std::ranges::find(this->sent, answer.sequence, &Sent::sequence);
    if (request == this->sent.end()) {
        return;
    }
    for (const EndpointQuota &quota : answer.endpoints) {
        this->applyQuota(quota, answer.leaseId, *request, now);
    }
}

void ColdLease::applyQuota(const EndpointQuota &quota, std::uint64_t answerHolding,
                           const Sent &request, core::Instant now)
{
    const auto found = this->states.find(quota.endpoint);
    if (found == this->states.end()) {
        return;
    }
    State &state = found->second;
    const bool isDowngrade = quota.warmupState == WarmupState::Cold && quota.quota == 0
        && request.sequence == state.appliedSequence;
    const bool isNew = request.sequence > state.appliedSequence;
    //! NOTE an answer to a request that did not yet tell the latest change must not undo it
    if ((!isNew && !isDowngrade) || request.sequence < state.changedAt) {
        return;
    }
    state.appliedLeaseId = answerHolding;
    state.appliedSequence = request.sequence;
    if (quota.warmupState != WarmupState::Unknown) {
        state.warmupState = quota.warmupState;
        state.servedFor = quota.servedFor;
    }
    state.quota = quota.quota;
    state.quotaEnd = request.at + GrantTime;
    state.confirmedAt = now;
}

bool ColdLease::isWarm(const core::EndpointName &endpoint) const
{
    return this->ramp == core::Duration::zero() || this->warmupState(endpoint) == WarmupState::Warm;
}

WarmupState ColdLease::warmupState(const core::EndpointName &endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? WarmupState::Unknown : found->second.warmupState;
}

} // namespace damaskgate::balance
