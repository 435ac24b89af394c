#include "damaskgate/balance/coldslotallocator.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace damaskgate::balance {

namespace {

constexpr std::chrono::seconds MinExchangeTimeLimit { 1 };
constexpr std::chrono::seconds DefaultExchangeTimeLimit { 30 };

/** Longest time that a host keeps its quota while more hosts want slots than the limit allows. */
constexpr std::chrono::milliseconds QuotaTurnTime { 500 };

/** A host counts as wanting slots for this time after its latest request. */
constexpr std::chrono::milliseconds RequestValidTime { 300 };

/** Longest interval that one update adds to the time for which a cold endpoint has served. */
constexpr std::chrono::milliseconds MaxServingStep { 300 };

/** A host's report of a doubtful endpoint counts for this time. */
constexpr std::chrono::seconds DoubtReportTime { 1 };

/** An endpoint is marked cold when at least this many hosts report it doubtful. */
constexpr std::size_t MinDoubtReports = 2;

core::Duration longestExchangeTime(const settings::Settings &settings,
                                   const core::ServiceName &service)
{
    core::Duration longest {};
    for (const settings::Route &route : settings.routes | std::views::values) {
        if (route.service == service) {
            longest = std::max(longest, route.timeout);
        }
    }
    if (longest == core::Duration::zero()) {
        return DefaultExchangeTimeLimit;
    }
    return std::max<core::Duration>(longest, MinExchangeTimeLimit);
}

} // namespace

ColdSlotAllocator::ColdSlotAllocator(std::uint64_t leaseId, core::Instant ownedSince)
    : leaseId(leaseId), ownedSince(ownedSince)
{}

void ColdSlotAllocator::applySettings(const settings::Settings &settings,
                                      const settings::Service &service, core::Instant now)
{
    this->slots = service.slots;
    this->rampTime = service.rampTime;
    this->maxExchangeTime = longestExchangeTime(settings, service.name);
    this->hosts.clear();
    std::ranges::copy(settings.hosts | std::views::keys,
                      std::inserter(this->hosts, this->hosts.end()));
    std::set<core::EndpointName> inService;
    for (const auto &[name, endpoint] : service.endpoints) {
        if (!settings::isInService(settings, endpoint)) {
            continue;
        }
        inService.insert(name);
        const bool isNew = this->states.try_emplace(name).second;
        if (isNew && this->hasSettings) {
            this->markCold(this->states[name], {}, now);
        }
    }
    std::erase_if(this->states,
                  [&](const auto &entry) { return !inService.contains(entry.first); });
    this->hasSettings = true;
}

SlotReply ColdSlotAllocator::onRequest(const core::HostName &host, std::uint64_t incarnation,
                                       const SlotRequest &request, core::Instant now)
{
    SlotReply reply { request.service, this->leaseId, request.sequence, {} };
    const HostKey key { host, incarnation };
    for (const EndpointUse &use : request.endpoints) {
        const auto found = this->states.find(use.endpoint);
        if (found == this->states.end()) {
            continue;
        }
        State &state = found->second;
        HostAllocation &allocation = state.allocations[key];
        if (request.sequence <= allocation.lastSequence) {
            continue;
        }
        this->recordUse(allocation, use, request.sequence, now);
        this->updateState(state, host, use, now);
        this->advanceWarmup(state, now);
        const std::uint32_t quota = this->decideQuota(state, key, use.wanted, now);
        this->recordGrant(allocation, state.warmupState, quota, now);
        reply.endpoints.push_back({ use.endpoint, state.warmupState, state.servedFor, quota });
    }
    return reply;
}

void ColdSlotAllocator::recordUse(HostAllocation &allocation, const EndpointUse &use,
                                  std::uint64_t sequence, core::Instant now) const
{
    allocation.lastSequence = sequence;
    allocation.reportedUse = std::max(use.inFlight, use.quota);
    allocation.reportedUseEnd = now + GrantTime + GrantDriftMargin + this->maxExchangeTime;
    allocation.isWarm =
        use.warmupState == WarmupState::Warm || use.warmupState == WarmupState::Doubtful;
    allocation.lastRequestAt = now;
    if (use.appliedLeaseId == this->leaseId) {
        allocation.appliedSequence = use.appliedSequence;
        allocation.hasAppliedReply = allocation.hasAppliedReply
            || (allocation.firstSafeSequence != 0
                && use.appliedSequence >= allocation.firstSafeSequence);
        std::erase_if(allocation.grants,
                      [&use](const Grant &grant) { return grant.sequence <= use.appliedSequence; });
    }
    std::erase_if(allocation.grants, [now](const Grant &grant) { return grant.end <= now; });
}

void ColdSlotAllocator::updateState(State &state, const core::HostName &host,
                                    const EndpointUse &use, core::Instant now) const
{
    const bool isFirst = state.incarnations.empty() && use.warmupState != WarmupState::Cold;
    const bool isNewIncarnation =
        use.incarnation != 0 && !isFirst && !state.incarnations.contains(use.incarnation);
    if (use.incarnation != 0) {
        state.incarnations.insert(use.incarnation);
    }
    if (state.warmupState == WarmupState::Unknown) {
        this->recordInitialReport(state, use);
        this->resolveInitialState(state, now);
        return;
    }
    if (use.warmupState == WarmupState::Doubtful) {
        state.doubtReports[host] = now;
    }
    std::erase_if(state.doubtReports,
                  [now](const auto &entry) { return entry.second + DoubtReportTime <= now; });
    const bool isDoubted =
        state.doubtReports.size() >= MinDoubtReports && state.warmupState == WarmupState::Warm;
    if (isNewIncarnation || isDoubted) {
        this->markCold(state, {}, now);
    }
}

void ColdSlotAllocator::recordInitialReport(State &state, const EndpointUse &use) const
{
    const bool isWarm =
        use.warmupState == WarmupState::Warm || use.warmupState == WarmupState::Doubtful;
    state.hasWarmReport = state.hasWarmReport || isWarm;
    if (use.warmupState != WarmupState::Cold) {
        return;
    }
    state.reportedServedFor =
        state.hasColdReport ? std::min(state.reportedServedFor, use.servedFor) : use.servedFor;
    state.hasColdReport = true;
}

void ColdSlotAllocator::resolveInitialState(State &state, core::Instant now) const
{
    if (now < this->ownedSince + GrantTime + GrantDriftMargin) {
        return;
    }
    if (state.hasWarmReport && !state.hasColdReport && state.incarnations.size() <= 1) {
        state.warmupState = WarmupState::Warm;
        return;
    }
    this->markCold(state, state.reportedServedFor, now);
    state.changedAt = this->ownedSince;
}

void ColdSlotAllocator::markCold(State &state, core::Duration servedFor, core::Instant now) const
{
    state.warmupState = WarmupState::Cold;
    state.changedAt = now;
    state.servedFor = servedFor;
    state.servedUntil = now;
    state.isUpdatePending = true;
    state.doubtReports.clear();
}

void ColdSlotAllocator::advanceWarmup(State &state, core::Instant now) const
{
    if (state.warmupState != WarmupState::Cold) {
        return;
    }
    const bool isServing =
        std::ranges::any_of(state.allocations | std::views::values,
                            [](const HostAllocation &a) { return a.reportedUse > 0; });
    if (isServing) {
        state.servedFor += std::min<core::Duration>(now - state.servedUntil, MaxServingStep);
    }
    state.servedUntil = now;
    if (state.servedFor >= this->rampTime) {
        state.warmupState = WarmupState::Warm;
    }
}

std::uint32_t ColdSlotAllocator::limit(const State &state) const
{
    if (state.warmupState == WarmupState::Warm || this->rampTime == core::Duration::zero()) {
        return this->slots;
    }
    const double served = std::chrono::duration<double>(state.servedFor).count();
    const double fraction = served / std::chrono::duration<double>(this->rampTime).count();
    const auto grown = static_cast<std::uint32_t>(fraction * this->slots);
    return std::clamp<std::uint32_t>(grown, 1, this->slots);
}

std::uint32_t ColdSlotAllocator::outstanding(const HostAllocation &allocation, core::Instant now)
{
    std::uint32_t maxUse = now < allocation.reportedUseEnd ? allocation.reportedUse : 0;
    for (const Grant &grant : allocation.grants) {
        maxUse = std::max(maxUse, now < grant.end ? grant.quota : 0);
    }
    return maxUse;
}

bool ColdSlotAllocator::haveAllHostsAppliedReplies(const State &state, core::Instant now) const
{
    const auto mayBeUsing = [now](const HostAllocation &allocation) {
        const bool isUsedAsWarm =
            allocation.isWarm || allocation.warmSequence > allocation.appliedSequence;
        return (!allocation.hasAppliedReply || isUsedAsWarm) && now < allocation.reportedUseEnd;
    };
    if (std::ranges::any_of(state.allocations | std::views::values, mayBeUsing)) {
        return false;
    }
    return std::ranges::all_of(this->hosts, [&state](const core::HostName &host) {
        const auto first = state.allocations.lower_bound({ host, 0 });
        return first != state.allocations.end() && first->first.first == host;
    });
}

bool ColdSlotAllocator::isGrantingAllowed(const State &state, core::Instant now) const
{
    if (state.warmupState != WarmupState::Cold) {
        return false;
    }
    const core::Instant since = std::max(this->ownedSince, state.changedAt);
    if (now < since + GrantTime + GrantDriftMargin) {
        return false;
    }
    const core::Instant allEnded = since + GrantTime + GrantDriftMargin + this->maxExchangeTime;
    return now >= allEnded || this->haveAllHostsAppliedReplies(state, now);
}

std::uint32_t ColdSlotAllocator::decideQuota(State &state, const HostKey &host,
                                             std::uint32_t wanted, core::Instant now) const
{
    HostAllocation &own = state.allocations.at(host);
    own.isWantingSlots = wanted > 0;
    std::erase_if(state.allocations, [&](const auto &entry) {
        return entry.first != host && now >= entry.second.reportedUseEnd
            && outstanding(entry.second, now) == 0;
    });
    if (!this->isGrantingAllowed(state, now)) {
        return 0;
    }
    std::uint32_t others = 0;
    for (const auto &[key, allocation] : state.allocations) {
        others += key == host ? 0 : outstanding(allocation, now);
    }
    const std::uint32_t total = this->limit(state);
    const std::uint32_t room = total > others ? total - others : 0;
    const std::uint32_t quota = this->fairQuota(state, host, room, wanted, now);
    if (quota == 0) {
        own.quotaSince = {};
        return 0;
    }
    own.quotaSince = own.quotaSince == core::Instant {} ? now : own.quotaSince;
    own.lastQuotaAt = now;
    return quota;
}

void ColdSlotAllocator::recordGrant(HostAllocation &allocation, WarmupState warmupState,
                                    std::uint32_t quota, core::Instant now) const
{
    if (allocation.firstSafeSequence == 0
        && now >= this->ownedSince + GrantTime + GrantDriftMargin) {
        allocation.firstSafeSequence = allocation.lastSequence;
    }
    if (warmupState == WarmupState::Warm) {
        allocation.warmSequence = allocation.lastSequence;
    }
    if (quota > 0) {
        allocation.grants.push_back({ allocation.lastSequence, quota,
                                      now + GrantTime + GrantDriftMargin + this->maxExchangeTime });
    }
}

std::uint32_t ColdSlotAllocator::fairQuota(const State &state, const HostKey &host,
                                           std::uint32_t room, std::uint32_t wanted,
                                           core::Instant now) const
{
    const HostAllocation &own = state.allocations.at(host);
    std::uint32_t waiting = 1;
    std::uint32_t longerWaiting = 0;
    for (const auto &[key, allocation] : state.allocations) {
        if (key == host || !allocation.isWantingSlots
            || allocation.lastRequestAt + RequestValidTime <= now) {
            continue;
        }
        ++waiting;
        const bool hasNoQuota = allocation.quotaSince == core::Instant {};
        longerWaiting += hasNoQuota && allocation.lastQuotaAt < own.lastQuotaAt ? 1 : 0;
    }
    const std::uint32_t total = this->limit(state);
    const std::uint32_t share = std::max<std::uint32_t>(1, total / waiting);
    const bool hasQuota = own.quotaSince != core::Instant {};
    const bool isTurnOver = hasQuota && waiting > total && own.quotaSince + QuotaTurnTime <= now;
    if (isTurnOver || (!hasQuota && longerWaiting >= room)) {
        return 0;
    }
    return std::min({ wanted, room, share });
}

std::map<core::HostName, std::vector<SlotReply>>
ColdSlotAllocator::takeUpdates(const core::ServiceName &service)
{
    std::map<core::HostName, std::vector<SlotReply>> updates;
    for (auto &[endpoint, state] : this->states) {
        if (!state.isUpdatePending) {
            continue;
        }
        state.isUpdatePending = false;
        for (const auto &[host, allocation] : state.allocations) {
            const EndpointQuota quota { endpoint, WarmupState::Cold, state.servedFor, 0 };
            updates[host.first].push_back(
                { service, this->leaseId, allocation.lastSequence, { quota } });
        }
    }
    return updates;
}

void ColdSlotAllocator::onReadmitted(const core::EndpointName &endpoint, core::Instant now)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end()) {
        this->markCold(found->second, {}, now);
    }
}

WarmupState ColdSlotAllocator::warmupState(const core::EndpointName &endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? WarmupState::Unknown : found->second.warmupState;
}

std::uint32_t ColdSlotAllocator::limit(const core::EndpointName &endpoint) const
{
    const auto found = this->states.find(endpoint);
    return found == this->states.end() ? 0 : this->limit(found->second);
}

} // namespace damaskgate::balance
