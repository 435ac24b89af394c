#include "damaskgate/lease/leasecandidate.h"

#include <algorithm>
#include <utility>

namespace damaskgate::lease {

namespace {

//! Time after a release during which the host does not try to acquire the lease again.
constexpr core::Duration ReacquireDelay = std::chrono::seconds(1);

} // namespace

LeaseCandidate::LeaseCandidate(HolderId self, std::uint64_t seed, const LeasePolicy &policy,
                               const LeaseGuards &guards)
    : self(std::move(self)), policy(policy), guards(guards), states(PartitionCount),
      random(seed | 1U)
{}

void LeaseCandidate::applyRoster(RosterPtr newRoster)
{
    this->roster = std::move(newRoster);
    //! NOTE Grants from the previous grantors must not count towards a majority of the new grantor
    //! sets, so pending rounds are dropped.
    std::ranges::for_each(this->states, [](State &state) { state.round = {}; });
    this->updateRanks();
}

void LeaseCandidate::setLiveHosts(std::span<const core::HostName> hosts)
{
    this->liveHosts = { hosts.begin(), hosts.end() };
    this->liveHosts.erase(this->self.host);
    this->updateRanks();
}

void LeaseCandidate::updateRanks()
{
    if (!this->roster) {
        return;
    }
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        const auto &ranking = this->roster->ranking(partition);
        const auto own = std::ranges::find(ranking, this->self.host);
        const auto better = std::ranges::count_if(ranking.begin(), own, [this](const auto &host) {
            return this->liveHosts.contains(host);
        });
        const bool isRanked = own != ranking.end();
        this->states[partition].rank =
            isRanked ? static_cast<std::size_t>(better) : Roster::RankingLength;
    }
}

void LeaseCandidate::tick(core::Instant now)
{
    if (!this->roster) {
        return;
    }
    // All leases are renewed at the same time, so that their requests share datagrams.
    const bool isRenewalDue = now >= this->nextRenewal;
    if (isRenewalDue) {
        this->nextRenewal = now + this->policy.renewInterval;
    }
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        this->tickPartition(partition, isRenewalDue, now);
    }
}

void LeaseCandidate::tickPartition(PartitionId partition, bool isRenewalDue, core::Instant now)
{
    State &state = this->states[partition];
    if (state.isHeld && now >= state.lease.validUntil) {
        this->markLost(partition);
    }
    if (state.isHeld) {
        if (isRenewalDue) {
            this->startRound(partition, now);
        }
        return;
    }
    const bool isRoundPending = state.round.sequence != 0;
    if (now >= state.nextAttempt && isRoundPending) {
        this->abandonRound(partition, now);
        return;
    }
    if (now >= state.nextAttempt && this->shouldAcquire(state, now)) {
        state.nextAttempt = now + this->policy.retryInterval + this->jitter();
        this->startRound(partition, now);
    }
}

bool LeaseCandidate::shouldAcquire(const State &state, core::Instant now) const
{
    if (this->isLeaving || state.isReleasing) {
        return false;
    }
    return state.rank == 0
        || (state.rank < Roster::PreferredHostCount && now < state.takeoverRequestedUntil);
}

void LeaseCandidate::startRound(PartitionId partition, core::Instant now)
{
    State &state = this->states[partition];
    state.round = {};
    state.round.sequence = ++this->sequence;
    state.round.sentAt = now;
    for (const core::HostName &grantor : this->grantorsOf(partition)) {
        this->batchTo(grantor).requests.push_back({ partition, state.epoch, this->sequence });
    }
}

void LeaseCandidate::onReply(const core::HostName &from, const LeaseReply &reply, core::Instant now)
{
    if (!this->roster || reply.partition >= PartitionCount) {
        return;
    }
    State &state = this->states[reply.partition];
    const bool isCurrent =
        reply.sequence == state.round.sequence && reply.incarnation == this->self.incarnation;
    if (state.round.sequence == 0 || (!isCurrent && this->guards.ignoresOldReplies)) {
        return;
    }
    if (state.isHeld && now >= state.lease.validUntil) {
        this->markLost(reply.partition);
        return;
    }
    if (reply.outcome == LeaseOutcome::Granted) {
        this->onGrant(reply.partition, from, reply, now);
        return;
    }
    this->onDenial(reply.partition, from, reply, now);
}

void LeaseCandidate::onGrant(PartitionId partition, const core::HostName &from,
                             const LeaseReply &reply, core::Instant now)
{
    State &state = this->states[partition];
    state.round.granted.insert(from);
    state.round.predecessors.insert(reply.lease);
    if (!this->isMajority(partition, state.round.granted)) {
        return;
    }
    const core::Instant start = this->guards.countsFromSend ? state.round.sentAt : now;
    const core::Instant validUntil = start + this->policy.leaseTime;
    if (state.isHeld) {
        state.lease.validUntil = std::max(state.lease.validUntil, validUntil);
        return;
    }
    if (validUntil > now) {
        this->acquire(partition, validUntil, now);
    }
}

void LeaseCandidate::acquire(PartitionId partition, core::Instant validUntil, core::Instant now)
{
    State &state = this->states[partition];
    state.isHeld = true;
    state.lease = { state.epoch, now, validUntil, std::nullopt };
    if (state.round.predecessors.size() == 1) {
        state.lease.predecessor = *state.round.predecessors.begin();
    }
    state.holderHint = this->self.host;
    this->changes.push_back({ LeaseChange::Kind::Acquired, partition, state.epoch, std::nullopt });
}

void LeaseCandidate::onDenial(PartitionId partition, const core::HostName &from,
                              const LeaseReply &reply, core::Instant now)
{
    State &state = this->states[partition];
    if (reply.lease.holder.host.isEmpty()) {
        return;
    }
    auto &deniers = state.round.denied[reply.lease];
    deniers.insert(from);
    state.holderHint = reply.lease.holder.host;
    if (state.isHeld || !this->isMajority(partition, deniers)) {
        return;
    }
    const core::HostName holder = reply.lease.holder.host;
    this->abandonRound(partition, now);
    if (this->isBetterRanked(partition, this->self.host, holder)) {
        this->batchTo(holder).handoverRequests.push_back({ partition });
    }
}

void LeaseCandidate::abandonRound(PartitionId partition, core::Instant now)
{
    State &state = this->states[partition];
    // Otherwise the promises of a minority would block the other candidates for a whole promise
    // time.
    for (const core::HostName &grantor : this->grantorsOf(partition)) {
        this->batchTo(grantor).releases.push_back({ partition, state.round.sequence });
    }
    state.round = {};
    // The delay differs between candidates; otherwise two candidates that each have the promises of
    // some grantors would keep retrying in step.
    const auto rank = static_cast<core::Duration::rep>(state.rank);
    state.nextAttempt = now + this->policy.retryInterval * rank / 2 + this->jitter();
}

void LeaseCandidate::onHandoverRequest(const core::HostName &from, const HandoverRequest &request,
                                       core::Instant now)
{
    if (!this->roster || request.partition >= PartitionCount) {
        return;
    }
    const State &state = this->states[request.partition];
    if (!this->heldLease(request.partition, now) || now < state.handoverAllowedFrom
        || !this->isBetterRanked(request.partition, from, this->self.host)) {
        return;
    }
    this->beginRelease(request.partition, from, now);
}

void LeaseCandidate::onHandoverOffer(const HandoverOffer &offer, core::Instant now)
{
    if (offer.partition >= PartitionCount) {
        return;
    }
    State &state = this->states[offer.partition];
    state.takeoverRequestedUntil = now + this->policy.takeoverRequestTime;
    state.nextAttempt = now;
}

void LeaseCandidate::requestTakeover(PartitionId partition, core::Instant now)
{
    State &state = this->states[partition];
    if (now >= state.takeoverRequestedUntil) {
        const auto rank = static_cast<core::Duration::rep>(state.rank);
        state.nextAttempt = std::max(state.nextAttempt, now + this->policy.rankDelay * rank);
    }
    state.takeoverRequestedUntil = now + this->policy.takeoverRequestTime;
}

void LeaseCandidate::leave(core::Instant now)
{
    this->isLeaving = true;
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        if (!this->heldLease(partition, now)) {
            continue;
        }
        const auto others = this->preferredHosts(partition);
        const auto successor = others.empty() ? std::nullopt : std::optional(others.front());
        this->beginRelease(partition, successor, now);
    }
}

void LeaseCandidate::beginRelease(PartitionId partition,
                                  const std::optional<core::HostName> &successor, core::Instant now)
{
    State &state = this->states[partition];
    state.lease.validUntil = now;
    state.isHeld = false;
    state.isReleasing = true;
    state.successor = successor;
    state.round = {};
    this->changes.push_back({ LeaseChange::Kind::Releasing, partition, state.epoch, successor });
    ++state.epoch;
}

void LeaseCandidate::confirmRelease(PartitionId partition, core::Instant now)
{
    State &state = this->states[partition];
    if (!state.isReleasing) {
        return;
    }
    state.isReleasing = false;
    state.nextAttempt = now + ReacquireDelay;
    state.handoverAllowedFrom = now + this->policy.handoverPause;
    state.holderHint = state.successor;
    ++this->sequence;
    for (const core::HostName &grantor : this->grantorsOf(partition)) {
        this->batchTo(grantor).releases.push_back({ partition, this->sequence });
    }
    if (state.successor) {
        this->batchTo(*state.successor).offers.push_back({ partition });
    }
}

void LeaseCandidate::markLost(PartitionId partition)
{
    State &state = this->states[partition];
    state.isHeld = false;
    state.round = {};
    state.nextAttempt = {};
    state.holderHint.reset();
    this->changes.push_back({ LeaseChange::Kind::Lost, partition, state.epoch, std::nullopt });
    ++state.epoch;
}

std::optional<HeldLease> LeaseCandidate::heldLease(PartitionId partition, core::Instant now) const
{
    const State &state = this->states[partition];
    if (!state.isHeld || (this->guards.checksAtUse && now >= state.lease.validUntil)) {
        return std::nullopt;
    }
    return state.lease;
}

std::optional<core::HostName> LeaseCandidate::holderHint(PartitionId partition) const
{
    const State &state = this->states[partition];
    if (state.holderHint && state.holderHint != this->self.host) {
        return state.holderHint;
    }
    const auto candidates = this->preferredHosts(partition);
    return candidates.empty() ? std::nullopt : std::optional(candidates.front());
}

std::vector<core::HostName> LeaseCandidate::preferredHosts(PartitionId partition) const
{
    std::vector<core::HostName> found;
    if (!this->roster) {
        return found;
    }
    for (const core::HostName &host : this->roster->ranking(partition)) {
        const bool isOwn = host == this->self.host && !this->isLeaving;
        if ((isOwn || this->liveHosts.contains(host))
            && found.size() < Roster::PreferredHostCount) {
            found.push_back(host);
        }
    }
    return found;
}

bool LeaseCandidate::isMajority(PartitionId partition, const std::set<core::HostName> &hosts) const
{
    const auto &sets = this->roster->grantorSets(partition);
    const auto hasMajority = [&hosts](const std::vector<core::HostName> &grantors) {
        const auto count = std::ranges::count_if(
            grantors, [&hosts](const auto &grantor) { return hosts.contains(grantor); });
        return static_cast<std::size_t>(count) > grantors.size() / 2;
    };
    if (!this->guards.needsBothRosters) {
        return hasMajority(sets.front());
    }
    return std::ranges::all_of(sets, hasMajority);
}

bool LeaseCandidate::isBetterRanked(PartitionId partition, const core::HostName &first,
                                    const core::HostName &second) const
{
    const auto &ranking = this->roster->ranking(partition);
    return std::ranges::find(ranking, first) < std::ranges::find(ranking, second);
}

std::set<core::HostName> LeaseCandidate::grantorsOf(PartitionId partition) const
{
    std::set<core::HostName> grantors;
    for (const auto &set : this->roster->grantorSets(partition)) {
        grantors.insert(set.begin(), set.end());
    }
    return grantors;
}

core::Duration LeaseCandidate::jitter()
{
    this->random ^= this->random << 13U;
    this->random ^= this->random >> 7U;
    this->random ^= this->random << 17U;
    const auto range = static_cast<std::uint64_t>(this->policy.retryInterval.count());
    return core::Duration(static_cast<core::Duration::rep>(this->random % range));
}

LeaseBatch &LeaseCandidate::batchTo(const core::HostName &host)
{
    return this->outbox[host];
}

LeaseOutbox LeaseCandidate::takeOutbox()
{
    return std::exchange(this->outbox, {});
}

std::vector<LeaseChange> LeaseCandidate::takeChanges()
{
    return std::exchange(this->changes, {});
}

} // namespace damaskgate::lease
