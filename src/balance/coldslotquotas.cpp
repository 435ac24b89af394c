#include "coldslotquotas.h"

#include <algorithm>

namespace damaskgate::balance {

namespace {

constexpr std::size_t EndpointsPerRequest = 8; //!< keeps datagrams below 1,200 bytes
/** Number of sent requests that are remembered; replies to older requests are ignored. */
constexpr std::size_t MaxSentRequests = 64;
constexpr std::uint32_t DoubtfulLimit = 1;
constexpr std::uint64_t RoundsPerFullReport = 10; //!< other rounds omit warm endpoints

/** A warm endpoint without a response or an owner's reply for longer is treated as doubtful. */
constexpr std::chrono::seconds ConfirmedTime { 2 };

} // namespace

ColdSlotQuotas::ColdSlotQuotas(std::uint64_t firstSequence) : sequence(firstSequence) {}

void ColdSlotQuotas::applySettings(core::Duration newRampTime,
                                   const std::set<core::EndpointName> &endpoints)
{
    this->rampTime = newRampTime;
    std::erase_if(this->states,
                  [&](const auto &entry) { return !endpoints.contains(entry.first); });
    std::ranges::for_each(endpoints, [this](const auto &endpoint) { this->states[endpoint]; });
}

std::uint32_t ColdSlotQuotas::limit(const core::EndpointName &endpoint, std::uint32_t slots,
                                    core::Instant now) const
{
    const auto found = this->states.find(endpoint);
    if (found == this->states.end()) {
        return 0;
    }
    const State &state = found->second;
    if (this->rampTime == core::Duration::zero()) {
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

void ColdSlotQuotas::changeState(State &state, WarmupState warmupState)
{
    state.warmupState = warmupState;
    state.changedAt = this->sequence + 1;
}

void ColdSlotQuotas::onResponse(const core::EndpointName &endpoint,
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
        this->changeState(state, WarmupState::Cold);
        return;
    }
    state.confirmedAt = now;
    if (state.warmupState == WarmupState::Doubtful) {
        this->changeState(state, WarmupState::Warm);
    }
}

void ColdSlotQuotas::onConnectionLost(const core::EndpointName &endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end() && found->second.warmupState == WarmupState::Warm) {
        this->changeState(found->second, WarmupState::Doubtful);
    }
}

void ColdSlotQuotas::onReadmitted(const core::EndpointName &endpoint)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end()) {
        found->second.servedFor = {};
        found->second.quota = 0;
        this->changeState(found->second, WarmupState::Cold);
    }
}

std::vector<SlotRequest>
ColdSlotQuotas::makeRequests(const core::ServiceName &service, core::Instant now,
                             const std::function<Counts(const core::EndpointName &)> &counts)
{
    std::vector<SlotRequest> requests;
    const bool isFull = this->round++ % RoundsPerFullReport == 0;
    for (const auto &[endpoint, state] : this->states) {
        const bool isWarmAcknowledged =
            state.warmupState == WarmupState::Warm && state.changedAt <= state.appliedSequence;
        if (this->rampTime == core::Duration::zero() || (isWarmAcknowledged && !isFull)) {
            continue;
        }
        if (requests.empty() || requests.back().endpoints.size() == EndpointsPerRequest) {
            requests.push_back({ service, ++this->sequence, {} });
            this->sentRequests.push_back({ this->sequence, now });
        }
        const Counts count = counts(endpoint);
        const std::uint32_t quota = now < state.quotaEnd ? state.quota : 0;
        requests.back().endpoints.push_back(
            { endpoint, state.warmupState, state.servedFor, state.incarnation, state.appliedLeaseId,
              state.appliedSequence, quota, count.inFlight, count.wanted });
    }
    while (this->sentRequests.size() > MaxSentRequests) {
        this->sentRequests.pop_front();
    }
    return requests;
}

void ColdSlotQuotas::onReply(const SlotReply &reply, core::Instant now)
{
    const auto request =
        std::ranges::find(this->sentRequests, reply.sequence, &SentRequest::sequence);
    if (request == this->sentRequests.end()) {
        return;
    }
    for (const EndpointQuota &quota : reply.endpoints) {
        this->applyQuota(quota, reply.leaseId, *request, now);
    }
}

void ColdSlotQuotas::applyQuota(const EndpointQuota &quota, std::uint64_t replyLeaseId,
                                const SentRequest &request, core::Instant now)
{
    const auto found = this->states.find(quota.endpoint);
    if (found == this->states.end()) {
        return;
    }
    State &state = found->second;
    const bool isDowngrade = quota.warmupState == WarmupState::Cold && quota.quota == 0
        && request.sequence == state.appliedSequence;
    const bool isNew = request.sequence > state.appliedSequence;
    //! NOTE A reply to a request sent before the latest change must not undo that change
    if ((!isNew && !isDowngrade) || request.sequence < state.changedAt) {
        return;
    }
    state.appliedLeaseId = replyLeaseId;
    state.appliedSequence = request.sequence;
    if (quota.warmupState != WarmupState::Unknown) {
        state.warmupState = quota.warmupState;
        state.servedFor = quota.servedFor;
    }
    state.quota = quota.quota;
    state.quotaEnd = request.at + GrantTime;
    state.confirmedAt = now;
}

bool ColdSlotQuotas::isWarm(const core::EndpointName &endpoint) const
{
    return this->rampTime == core::Duration::zero()
        || this->warmupState(endpoint) == WarmupState::Warm;
}

WarmupState ColdSlotQuotas::warmupState(const core::EndpointName &endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? WarmupState::Unknown : found->second.warmupState;
}

} // namespace damaskgate::balance
