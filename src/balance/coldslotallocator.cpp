#include "damaskgate/balance/coldslotallocator.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace damaskgate::balance {

namespace {

constexpr std::chrono::seconds MinimumExchangeLimit { 1 };
constexpr std::chrono::seconds DefaultExchangeLimit { 30 };
constexpr std::chrono::milliseconds TurnTime { 500 }; //!< for which others wait for a quota
constexpr std::chrono::milliseconds WaitingTime { 300 }; //!< since the last request of a host
constexpr std::chrono::milliseconds ServingGap { 300 }; //!< longest step of time served
constexpr std::chrono::seconds DoubtTime { 1 };
constexpr std::size_t DoubtingHosts = 2; //!< that make an endpoint cold

core::Duration longestExchange(const settings::Settings &settings, const core::ServiceName &service)
{
    core::Duration longest {};
    for (const settings::Route &route : settings.routes | std::views::values) {
        if (route.service == service) {
            longest = std::max(longest, route.timeout);
        }
    }
    if (longest == core::Duration::zero()) {
        return DefaultExchangeLimit;
    }
    return std::max<core::Duration>(longest, MinimumExchangeLimit);
}

} // namespace

ColdSlotAllocator::ColdSlotAllocator(std::uint64_t leaseId, core::Instant ownedSince)
    : leaseId(leaseId), ownedSince(ownedSince)
{}

void ColdSlotAllocator::applySettings(const settings::Settings &settings,
                                      const settings::Service &service, core::Instant now)
{
    this->slots = service.slots;
    this->ramp = service.rampTime;
    this->exchangeLimit = longestExchange(settings, service.name);
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
            this->turnCold(this->states[name], {}, now);
        }
    }
    std::erase_if(this->states,
                  [&](const auto &entry) { return !inService.contains(entry.first); });
    this->hasSettings = true;
}

SlotReply ColdSlotAllocator::onRequest(const core::HostName &host, std::uint64_t incarnation,
                                       const SlotRequest &request, core::Instant now)
{
    SlotReply answer { request.service, this->leaseId, request.sequence, {} };
    const HostKey key { host, incarnation };
    for (const EndpointUse &use : request.endpoints) {
        const auto found = this->states.find(use.endpoint);
        if (found == this->states.end()) {
            continue;
        }
        State &state = found->second;
        Loan &loan = state.loans[key];
        if (request.sequence <= loan.lastSequence) {
            continue;
        }
        this->count(loan, use, request.sequence, now);
        this->learn(state, host, use, now);
        this->advance(state, now);
        const std::uint32_t quota = this->decide(state, key, use.wanted, now);
        this->remember(loan, state.warmupState, quota, now);
        answer.endpoints.push_back({ use.endpoint, state.warmupState, state.servedFor, quota });
    }
    return answer;
}

void ColdSlotAllocator::count(Loan &loan, const EndpointUse &use, std::uint64_t sequence,
                              core::Instant now) const
{
    loan.lastSequence = sequence;
    loan.told = std::max(use.inFlight, use.quota);
    loan.toldEnd = now + GrantTime + GrantDriftMargin + this->exchangeLimit;
    loan.isWarm = use.warmupState == WarmupState::Warm || use.warmupState == WarmupState::Doubtful;
    loan.heardAt = now;
    if (use.appliedLeaseId == this->leaseId) {
        loan.appliedSequence = use.appliedSequence;
        loan.isHeard = loan.isHeard
            || (loan.settledSequence != 0 && use.appliedSequence >= loan.settledSequence);
        std::erase_if(loan.grants,
                      [&use](const Grant &grant) { return grant.sequence <= use.appliedSequence; });
    }
    std::erase_if(loan.grants, [now](const Grant &grant) { return grant.end <= now; });
}

void ColdSlotAllocator::learn(State &state, const core::HostName &host, const EndpointUse &use,
                              core::Instant now) const
{
    const bool isFirst = state.incarnations.empty() && use.warmupState != WarmupState::Cold;
    const bool isNewIncarnation =
        use.incarnation != 0 && !isFirst && !state.incarnations.contains(use.incarnation);
    if (use.incarnation != 0) {
        state.incarnations.insert(use.incarnation);
    }
    if (state.warmupState == WarmupState::Unknown) {
        this->noteClaim(state, use);
        this->settle(state, now);
        return;
    }
    if (use.warmupState == WarmupState::Doubtful) {
        state.doubts[host] = now;
    }
    std::erase_if(state.doubts,
                  [now](const auto &entry) { return entry.second + DoubtTime <= now; });
    const bool isDoubted =
        state.doubts.size() >= DoubtingHosts && state.warmupState == WarmupState::Warm;
    if (isNewIncarnation || isDoubted) {
        this->turnCold(state, {}, now);
    }
}

void ColdSlotAllocator::noteClaim(State &state, const EndpointUse &use) const
{
    const bool isWarm =
        use.warmupState == WarmupState::Warm || use.warmupState == WarmupState::Doubtful;
    state.hasWarmClaim = state.hasWarmClaim || isWarm;
    if (use.warmupState != WarmupState::Cold) {
        return;
    }
    state.claimedServedFor =
        state.hasColdClaim ? std::min(state.claimedServedFor, use.servedFor) : use.servedFor;
    state.hasColdClaim = true;
}

void ColdSlotAllocator::settle(State &state, core::Instant now) const
{
    if (now < this->ownedSince + GrantTime + GrantDriftMargin) {
        return;
    }
    if (state.hasWarmClaim && !state.hasColdClaim && state.incarnations.size() <= 1) {
        state.warmupState = WarmupState::Warm;
        return;
    }
    this->turnCold(state, state.claimedServedFor, now);
    state.changedAt = this->ownedSince;
}

void ColdSlotAllocator::turnCold(State &state, core::Duration servedFor, core::Instant now) const
{
    state.warmupState = WarmupState::Cold;
    state.changedAt = now;
    state.servedFor = servedFor;
    state.servedUntil = now;
    state.isUnannounced = true;
    state.doubts.clear();
}

void ColdSlotAllocator::advance(State &state, core::Instant now) const
{
    if (state.warmupState != WarmupState::Cold) {
        return;
    }
    const bool isServing = std::ranges::any_of(state.loans | std::views::values,
                                               [](const Loan &l) { return l.told > 0; });
    if (isServing) {
        state.servedFor += std::min<core::Duration>(now - state.servedUntil, ServingGap);
    }
    state.servedUntil = now;
    if (state.servedFor >= this->ramp) {
        state.warmupState = WarmupState::Warm;
    }
}

std::uint32_t ColdSlotAllocator::limit(const State &state) const
{
    if (state.warmupState == WarmupState::Warm || this->ramp == core::Duration::zero()) {
        return this->slots;
    }
    const double served = std::chrono::duration<double>(state.servedFor).count();
    const double fraction = served / std::chrono::duration<double>(this->ramp).count();
    const auto grown = static_cast<std::uint32_t>(fraction * this->slots);
    return std::clamp<std::uint32_t>(grown, 1, this->slots);
}

std::uint32_t ColdSlotAllocator::outstanding(const Loan &loan, core::Instant now)
{
    std::uint32_t bound = now < loan.toldEnd ? loan.told : 0;
    for (const Grant &grant : loan.grants) {
        bound = std::max(bound, now < grant.end ? grant.quota : 0);
    }
    return bound;
}

bool ColdSlotAllocator::haveAllHostsAnswered(const State &state, core::Instant now) const
{
    const auto mayBeUsing = [now](const Loan &loan) {
        const bool isTakenAsWarm = loan.isWarm || loan.warmSequence > loan.appliedSequence;
        return (!loan.isHeard || isTakenAsWarm) && now < loan.toldEnd;
    };
    if (std::ranges::any_of(state.loans | std::views::values, mayBeUsing)) {
        return false;
    }
    return std::ranges::all_of(this->hosts, [&state](const core::HostName &host) {
        const auto first = state.loans.lower_bound({ host, 0 });
        return first != state.loans.end() && first->first.first == host;
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
    const core::Instant allEnded = since + GrantTime + GrantDriftMargin + this->exchangeLimit;
    return now >= allEnded || this->haveAllHostsAnswered(state, now);
}

std::uint32_t ColdSlotAllocator::decide(State &state, const HostKey &host, std::uint32_t wanted,
                                        core::Instant now) const
{
    Loan &own = state.loans.at(host);
    own.isWaiting = wanted > 0;
    std::erase_if(state.loans, [&](const auto &entry) {
        return entry.first != host && now >= entry.second.toldEnd
            && outstanding(entry.second, now) == 0;
    });
    if (!this->isGrantingAllowed(state, now)) {
        return 0;
    }
    std::uint32_t others = 0;
    for (const auto &[key, loan] : state.loans) {
        others += key == host ? 0 : outstanding(loan, now);
    }
    const std::uint32_t total = this->limit(state);
    const std::uint32_t room = total > others ? total - others : 0;
    const std::uint32_t quota = this->fairQuota(state, host, room, wanted, now);
    if (quota == 0) {
        own.heldSince = {};
        return 0;
    }
    own.heldSince = own.heldSince == core::Instant {} ? now : own.heldSince;
    own.lastTurn = now;
    return quota;
}

void ColdSlotAllocator::remember(Loan &loan, WarmupState warmupState, std::uint32_t quota,
                                 core::Instant now) const
{
    if (loan.settledSequence == 0 && now >= this->ownedSince + GrantTime + GrantDriftMargin) {
        loan.settledSequence = loan.lastSequence;
    }
    if (warmupState == WarmupState::Warm) {
        loan.warmSequence = loan.lastSequence;
    }
    if (quota > 0) {
        loan.grants.push_back(
            { loan.lastSequence, quota, now + GrantTime + GrantDriftMargin + this->exchangeLimit });
    }
}

std::uint32_t ColdSlotAllocator::fairQuota(const State &state, const HostKey &host,
                                           std::uint32_t room, std::uint32_t wanted,
                                           core::Instant now) const
{
    const Loan &own = state.loans.at(host);
    std::uint32_t waiting = 1;
    std::uint32_t earlier = 0;
    for (const auto &[key, loan] : state.loans) {
        if (key == host || !loan.isWaiting || loan.heardAt + WaitingTime <= now) {
            continue;
        }
        ++waiting;
        const bool isWithout = loan.heldSince == core::Instant {};
        earlier += isWithout && loan.lastTurn < own.lastTurn ? 1 : 0;
    }
    const std::uint32_t total = this->limit(state);
    const std::uint32_t share = std::max<std::uint32_t>(1, total / waiting);
    const bool isHolding = own.heldSince != core::Instant {};
    const bool isTurnOver = isHolding && waiting > total && own.heldSince + TurnTime <= now;
    if (isTurnOver || (!isHolding && earlier >= room)) {
        return 0;
    }
    return std::min({ wanted, room, share });
}

std::map<core::HostName, std::vector<SlotReply>>
ColdSlotAllocator::takeUpdates(const core::ServiceName &service)
{
    std::map<core::HostName, std::vector<SlotReply>> news;
    for (auto &[endpoint, state] : this->states) {
        if (!state.isUnannounced) {
            continue;
        }
        state.isUnannounced = false;
        for (const auto &[host, loan] : state.loans) {
            const EndpointQuota quota { endpoint, WarmupState::Cold, state.servedFor, 0 };
            news[host.first].push_back({ service, this->leaseId, loan.lastSequence, { quota } });
        }
    }
    return news;
}

void ColdSlotAllocator::onReadmitted(const core::EndpointName &endpoint, core::Instant now)
{
    const auto found = this->states.find(endpoint);
    if (found != this->states.end()) {
        this->turnCold(found->second, {}, now);
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
