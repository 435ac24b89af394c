#include "damaskgate/limits/limitermachine.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace damaskgate::limits {

namespace {

constexpr core::Duration RemovalInterval = std::chrono::seconds(5);
constexpr std::size_t MaxHandovers = 4096;
constexpr std::size_t MaxWaiters = 1024; //!< for each workspace

std::chrono::milliseconds toMilliseconds(core::Duration duration)
{
    constexpr core::Duration Longest = std::chrono::hours(1);
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(duration, Longest));
}

} // namespace

lease::PartitionId partitionOf(const core::WorkspaceName &workspace)
{
    return lease::partitionOf("workspace/" + workspace.text());
}

LimiterMachine::LimiterMachine(lease::HolderId self, const lease::ILeaseView &leases,
                               const LimiterPolicy &policy, const LimiterGuards &guards)
    : self(std::move(self)), leases(leases), policy(policy), guards(guards)
{}

void LimiterMachine::applySettings(settings::SettingsPtr newSettings, core::Instant now)
{
    this->settings = std::move(newSettings);
    for (auto &[name, bucket] : this->buckets) {
        const settings::Workspace *workspace = this->find(name);
        const double rate = workspace == nullptr ? 0 : this->slowRate(*workspace);
        const double burst = workspace == nullptr ? 0 : workspace->burst;
        bucket.tokens.configure(rate, burst, now);
    }
}

std::uint64_t LimiterMachine::admit(const core::WorkspaceName &workspace, core::Instant deadline,
                                    core::Instant now)
{
    const std::uint64_t ticket = ++this->lastTicket;
    Attempt attempt;
    attempt.workspace = workspace;
    attempt.giveUpAt = std::min(deadline, now + this->policy.maxAttemptTime);
    this->attempts.emplace(ticket, std::move(attempt));
    this->advance(ticket, now);
    return ticket;
}

void LimiterMachine::onMessage(const lease::HolderId &from, const TokenMessage &message,
                               core::Instant now)
{
    if (const auto *request = std::get_if<TakeRequest>(&message)) {
        this->onTake(from, *request, now);
    } else if (const auto *reply = std::get_if<TakeReply>(&message)) {
        this->onReply(*reply, now);
    } else if (const auto *handover = std::get_if<TokenHandover>(&message)) {
        this->onHandover(from, *handover, now);
    }
}

void LimiterMachine::onTake(const lease::HolderId &from, const TakeRequest &request,
                            core::Instant now)
{
    Bucket *bucket = this->ownBucket(request.workspace, now);
    const bool isAllowed =
        request.useWithin > core::Duration {} && request.useWithin <= this->policy.maxUseDelay;
    if (bucket == nullptr || !isAllowed) {
        const auto holder = this->leases.holderHint(partitionOf(request.workspace));
        this->send(from.host,
                   TakeReply { request.id,
                               from.incarnation,
                               TakeOutcome::NotHolder,
                               {},
                               holder.value_or(core::HostName()) });
        // A host that is asked for a partition that nobody holds is one of its homes.
        this->actions.demands.push_back(partitionOf(request.workspace));
        return;
    }
    const Waiter waiter { 0, from.host, request, from.incarnation, now + request.useWithin / 2 };
    if (bucket->waiters.empty() && this->serve(request.workspace, *bucket, waiter, now)) {
        return;
    }
    const auto ahead = static_cast<double>(bucket->waiters.size());
    const core::Duration wait = bucket->tokens.untilTokens(ahead + 1, now);
    if (wait > request.useWithin / 2 || bucket->waiters.size() >= MaxWaiters) {
        this->dismiss(waiter, *bucket, now);
        return;
    }
    bucket->waiters.push_back(waiter);
}

void LimiterMachine::onReply(const TakeReply &reply, core::Instant now)
{
    const auto ask = this->ticketOfAsk.find(reply.id);
    const bool isOwn = reply.incarnation == this->self.incarnation;
    if (ask == this->ticketOfAsk.end() || (!isOwn && this->guards.checksIncarnation)) {
        return;
    }
    const std::uint64_t ticket = ask->second;
    this->ticketOfAsk.erase(ask);
    const auto found = this->attempts.find(ticket);
    if (found == this->attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    const bool isLate = now > attempt.askedAt + attempt.useWithin;
    attempt.askId = 0;
    if (isLate && this->guards.voidsLateReplies) {
        attempt.retryAt = now;
        return;
    }
    const lease::PartitionId partition = partitionOf(attempt.workspace);
    if (reply.outcome == TakeOutcome::NotHolder) {
        this->holders.erase(partition);
    } else {
        this->holders[partition] = attempt.asked;
    }
    if (reply.outcome == TakeOutcome::Granted) {
        this->decide(ticket, {});
        return;
    }
    if (reply.outcome == TakeOutcome::Empty) {
        this->refuse(ticket, core::Reason::RateLimited, "rate of the workspace", reply.retryAfter);
        return;
    }
    const bool isNews = !reply.holder.isEmpty() && reply.holder != attempt.asked;
    attempt.hint = isNews ? reply.holder : core::HostName();
    attempt.retryAt = now + (isNews ? core::Duration {} : this->policy.retryDelay);
    // Without news the next home is asked, so that a wrong hint is not followed for ever.
    const bool isFirst = attempt.unanswered++ == 0;
    if (isNews && isFirst) {
        this->advance(ticket, now);
    }
}

void LimiterMachine::onHandover(const lease::HolderId &from, const TokenHandover &handover,
                                core::Instant now)
{
    const PendingHandover pending { { from, handover.epoch }, handover.tokens, now };
    const auto holding = this->leases.heldLease(partitionOf(handover.workspace), now);
    Bucket *bucket = this->ownBucket(handover.workspace, now);
    if (holding && bucket != nullptr) {
        this->acceptHandover(*bucket, *holding, pending, now);
        return;
    }
    if (this->handovers.size() < MaxHandovers) {
        this->handovers.insert_or_assign(handover.workspace, pending);
    }
}

void LimiterMachine::onReleasing(lease::PartitionId partition, std::uint32_t epoch,
                                 const std::optional<core::HostName> &successor, core::Instant now)
{
    core::Instant lentUntil = now;
    std::deque<Waiter> waiters;
    for (auto &[name, bucket] : this->buckets) {
        if (partitionOf(name) != partition || bucket.epoch != epoch) {
            continue;
        }
        const double tokens = bucket.tokens.drain(now);
        lentUntil = std::max(lentUntil, bucket.tokens.lentUntil());
        bucket.epoch = 0;
        std::ranges::move(bucket.waiters, std::back_inserter(waiters));
        bucket.waiters.clear();
        if (successor) {
            this->send(*successor, TokenHandover { partition, epoch, name, tokens });
        }
    }
    const bool waits = this->guards.waitsBeforeRelease;
    this->releasing[partition] = waits ? lentUntil : now;
    this->redirect(waiters, now);
    this->tick(now);
}

void LimiterMachine::redirect(const std::deque<Waiter> &waiters, core::Instant now)
{
    for (const Waiter &waiter : waiters) {
        // A request that gave up meanwhile leaves its waiter behind.
        if (this->attempts.contains(waiter.ticket)) {
            this->advance(waiter.ticket, now);
        }
        if (waiter.ticket != 0) {
            continue;
        }
        this->send(
            waiter.host,
            TakeReply { waiter.request.id, waiter.incarnation, TakeOutcome::NotHolder, {}, {} });
    }
}

void LimiterMachine::tick(core::Instant now)
{
    std::erase_if(this->releasing, [this, now](const auto &entry) {
        const bool isReady = now >= entry.second;
        if (isReady) {
            this->actions.released.push_back(entry.first);
        }
        return isReady;
    });
    for (auto &[workspace, bucket] : this->buckets) {
        if (!bucket.waiters.empty()) {
            this->serveWaiters(workspace, bucket, now);
        }
    }
    std::vector<std::uint64_t> tickets;
    tickets.reserve(this->attempts.size());
    std::ranges::transform(this->attempts, std::back_inserter(tickets),
                           [](const auto &entry) { return entry.first; });
    for (const std::uint64_t ticket : tickets) {
        this->tickAttempt(ticket, now);
    }
    if (now >= this->nextRemoval) {
        this->nextRemoval = now + RemovalInterval;
        this->removeEnded(now);
    }
}

void LimiterMachine::tickAttempt(std::uint64_t ticket, core::Instant now)
{
    const auto found = this->attempts.find(ticket);
    if (found == this->attempts.end()) {
        return;
    }
    Attempt &attempt = found->second;
    if (now >= attempt.giveUpAt) {
        this->refuse(ticket, core::Reason::LimiterUnavailable, "no holder of the rate answers",
                     this->policy.maxAttemptTime);
        return;
    }
    const bool isWaiting = attempt.askId == 0 && attempt.retryAt == core::Instant {};
    const bool isDue =
        attempt.askId == 0 ? now >= attempt.retryAt : now >= attempt.askedAt + attempt.useWithin;
    if (isWaiting || !isDue) {
        return;
    }
    if (attempt.askId != 0) {
        ++attempt.unanswered;
        attempt.hint = {};
        this->holders.erase(partitionOf(attempt.workspace));
        this->actions.demands.push_back(partitionOf(attempt.workspace));
        if (this->guards.voidsLateReplies) {
            this->ticketOfAsk.erase(attempt.askId);
        }
    }
    this->advance(ticket, now);
}

void LimiterMachine::advance(std::uint64_t ticket, core::Instant now)
{
    Attempt &attempt = this->attempts.at(ticket);
    attempt.askId = 0;
    attempt.retryAt = {};
    if (this->find(attempt.workspace) == nullptr) {
        this->refuse(ticket, core::Reason::LimiterUnavailable, "unknown workspace", {});
        return;
    }
    if (Bucket *bucket = this->ownBucket(attempt.workspace, now)) {
        this->admitLocally(ticket, *bucket, now);
        return;
    }
    this->askHolder(ticket, now);
}

void LimiterMachine::admitLocally(std::uint64_t ticket, Bucket &bucket, core::Instant now)
{
    Attempt &attempt = this->attempts.at(ticket);
    if (bucket.waiters.empty() && bucket.tokens.take(now)) {
        this->decide(ticket, {});
        return;
    }
    const auto ahead = static_cast<double>(bucket.waiters.size());
    const core::Duration wait = bucket.tokens.untilTokens(ahead + 1, now);
    const core::Duration longest = std::min(this->policy.maxWait, attempt.giveUpAt - now);
    if (wait > longest || bucket.waiters.size() >= MaxWaiters) {
        this->refuse(ticket, core::Reason::RateLimited, "rate of the workspace", wait);
        return;
    }
    Waiter waiter;
    waiter.ticket = ticket;
    waiter.until = now + longest;
    bucket.waiters.push_back(std::move(waiter));
}

void LimiterMachine::askHolder(std::uint64_t ticket, core::Instant now)
{
    Attempt &attempt = this->attempts.at(ticket);
    const auto target = this->chooseHolder(attempt);
    if (!target || *target == this->self.host) {
        this->actions.demands.push_back(partitionOf(attempt.workspace));
        attempt.retryAt = now + this->policy.retryDelay;
        ++attempt.unanswered;
        return;
    }
    attempt.asked = *target;
    attempt.askId = ++this->lastAsk;
    attempt.askedAt = now;
    attempt.useWithin = this->useDelay(*this->find(attempt.workspace));
    this->ticketOfAsk[attempt.askId] = ticket;
    this->send(*target, TakeRequest { attempt.askId, attempt.useWithin, attempt.workspace });
}

std::optional<core::HostName> LimiterMachine::chooseHolder(const Attempt &attempt) const
{
    if (!attempt.hint.isEmpty()) {
        return attempt.hint;
    }
    const lease::PartitionId partition = partitionOf(attempt.workspace);
    if (attempt.unanswered == 0) {
        const auto known = this->holders.find(partition);
        return known == this->holders.end() ? this->leases.holderHint(partition) : known->second;
    }
    const auto homes = this->leases.preferredHosts(partition);
    if (homes.empty()) {
        return std::nullopt;
    }
    return homes[attempt.unanswered % homes.size()];
}

core::Duration LimiterMachine::useDelay(const settings::Workspace &workspace) const
{
    // Tokens in use keep their room in the bucket: half of the burst at most, at the full rate.
    const std::chrono::duration<double> halfBurst(workspace.burst / 2
                                                  / std::max(workspace.ratePerSecond, 0.001));
    if (halfBurst >= this->policy.maxUseDelay) {
        return this->policy.maxUseDelay;
    }
    return std::max(std::chrono::duration_cast<core::Duration>(halfBurst),
                    this->policy.minUseDelay);
}

void LimiterMachine::serveWaiters(const core::WorkspaceName &workspace, Bucket &bucket,
                                  core::Instant now)
{
    const auto holding = this->leases.heldLease(partitionOf(workspace), now);
    if (!holding || holding->epoch != bucket.epoch) {
        return;
    }
    while (!bucket.waiters.empty()) {
        const Waiter waiter = bucket.waiters.front();
        const bool isServed = this->serve(workspace, bucket, waiter, now);
        if (!isServed && now < waiter.until) {
            return;
        }
        bucket.waiters.pop_front();
        if (!isServed) {
            this->dismiss(waiter, bucket, now);
        }
    }
}

bool LimiterMachine::serve(const core::WorkspaceName &workspace, Bucket &bucket,
                           const Waiter &waiter, core::Instant now)
{
    if (waiter.ticket == 0) {
        return this->lend(workspace, bucket, waiter, now);
    }
    if (!this->attempts.contains(waiter.ticket)) {
        return true;
    }
    if (!bucket.tokens.take(now)) {
        return false;
    }
    this->decide(waiter.ticket, {});
    return true;
}

bool LimiterMachine::lend(const core::WorkspaceName &workspace, Bucket &bucket,
                          const Waiter &waiter, core::Instant now)
{
    const core::Instant usedBy = now + this->stretch(waiter.request.useWithin);
    const auto holding = this->leases.heldLease(partitionOf(workspace), now);
    const bool outlasts = holding && usedBy < holding->validUntil;
    if (!outlasts && this->guards.endsUseWithLease) {
        this->send(
            waiter.host,
            TakeReply { waiter.request.id, waiter.incarnation, TakeOutcome::NotHolder, {}, {} });
        return true;
    }
    if (!bucket.tokens.lend(now, usedBy)) {
        return false;
    }
    this->send(waiter.host,
               TakeReply { waiter.request.id, waiter.incarnation, TakeOutcome::Granted, {}, {} });
    return true;
}

void LimiterMachine::dismiss(const Waiter &waiter, Bucket &bucket, core::Instant now)
{
    const auto ahead = static_cast<double>(bucket.waiters.size());
    const core::Duration wait = bucket.tokens.untilTokens(ahead + 1, now);
    if (waiter.ticket == 0) {
        this->send(waiter.host,
                   TakeReply { waiter.request.id,
                               waiter.incarnation,
                               TakeOutcome::Empty,
                               toMilliseconds(wait),
                               {} });
        return;
    }
    this->refuse(waiter.ticket, core::Reason::RateLimited, "rate of the workspace", wait);
}

void LimiterMachine::removeEnded(core::Instant now)
{
    std::deque<Waiter> waiters;
    for (auto next = this->buckets.begin(); next != this->buckets.end();) {
        const auto current = next++;
        if (this->isRemovable(current->first, current->second, now)) {
            std::ranges::move(current->second.waiters, std::back_inserter(waiters));
            this->buckets.erase(current);
        }
    }
    this->redirect(waiters, now);
    std::erase_if(this->handovers, [this, now](const auto &entry) {
        return now >= entry.second.receivedAt + this->policy.handoverMemory;
    });
    if (!this->guards.voidsLateReplies) {
        return;
    }
    std::erase_if(this->ticketOfAsk,
                  [this](const auto &entry) { return !this->attempts.contains(entry.second); });
}

bool LimiterMachine::isRemovable(const core::WorkspaceName &workspace, Bucket &bucket,
                                 core::Instant now) const
{
    const auto holding = this->leases.heldLease(partitionOf(workspace), now);
    if (!holding || holding->epoch != bucket.epoch) {
        //! NOTE onReleasing() may still come for a holding that was just given up.
        return std::exchange(bucket.isEnded, true);
    }
    const settings::Workspace *known = this->find(workspace);
    if (known == nullptr || !bucket.waiters.empty() || !bucket.tokens.isIdle(now)) {
        return false;
    }
    // A bucket that is made again holds what has accrued since the lease was acquired.
    const std::chrono::duration<double> age = now - holding->acquiredAt;
    return this->slowRate(*known) * age.count() >= known->burst;
}

const settings::Workspace *LimiterMachine::find(const core::WorkspaceName &workspace) const
{
    if (!this->settings) {
        return nullptr;
    }
    const auto found = this->settings->workspaces.find(workspace);
    return found == this->settings->workspaces.end() ? nullptr : &found->second;
}

LimiterMachine::Bucket *LimiterMachine::ownBucket(const core::WorkspaceName &workspace,
                                                  core::Instant now)
{
    const auto holding = this->leases.heldLease(partitionOf(workspace), now);
    const settings::Workspace *known = this->find(workspace);
    if (!holding || known == nullptr) {
        return nullptr;
    }
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end() && found->second.epoch == holding->epoch) {
        return &found->second;
    }
    return &this->createBucket(*known, *holding, now);
}

LimiterMachine::Bucket &LimiterMachine::createBucket(const settings::Workspace &workspace,
                                                     const lease::HeldLease &holding,
                                                     core::Instant now)
{
    const auto old = this->buckets.find(workspace.name);
    std::deque<Waiter> waiters;
    if (old != this->buckets.end()) {
        waiters = std::move(old->second.waiters);
        this->buckets.erase(old);
    }
    TokenBucket tokens(this->slowRate(workspace), workspace.burst, holding.acquiredAt,
                       this->guards);
    auto &bucket =
        this->buckets
            .emplace(workspace.name,
                     Bucket { std::move(tokens), holding.epoch, false, std::move(waiters), false })
            .first->second;
    const auto handover = this->handovers.find(workspace.name);
    if (handover != this->handovers.end()) {
        this->acceptHandover(bucket, holding, handover->second, now);
        this->handovers.erase(handover);
    }
    return bucket;
}

void LimiterMachine::acceptHandover(Bucket &bucket, const lease::HeldLease &holding,
                                    const PendingHandover &handover, core::Instant now) const
{
    const bool isFromPredecessor = holding.predecessor == handover.from;
    if (!isFromPredecessor && this->guards.checksPredecessor) {
        return;
    }
    if (bucket.hasHandover && this->guards.acceptsHandoverOnce) {
        return;
    }
    bucket.hasHandover = true;
    bucket.tokens.acceptHandover(handover.tokens, now);
}

bool LimiterMachine::hasPending() const
{
    return !this->attempts.empty() || !this->releasing.empty() || !this->buckets.empty();
}

void LimiterMachine::decide(std::uint64_t ticket, core::Result<void> result)
{
    const auto found = this->attempts.find(ticket);
    if (found == this->attempts.end()) {
        return;
    }
    this->attempts.erase(found);
    this->actions.decisions.push_back({ ticket, std::move(result) });
}

void LimiterMachine::refuse(std::uint64_t ticket, core::Reason reason, std::string detail,
                            core::Duration retryAfter)
{
    auto refusal = core::notRun(reason, std::move(detail));
    if (retryAfter > core::Duration {}) {
        refusal.value().retryAfter = toMilliseconds(retryAfter);
    }
    this->decide(ticket, std::move(refusal));
}

void LimiterMachine::send(const core::HostName &to, TokenMessage message)
{
    this->actions.messages.emplace_back(to, std::move(message));
}

core::Duration LimiterMachine::stretch(core::Duration duration) const
{
    return std::chrono::duration_cast<core::Duration>(duration * (1 + this->policy.driftBound));
}

double LimiterMachine::slowRate(const settings::Workspace &workspace) const
{
    const double drift = this->guards.allowsForDrift ? this->policy.driftBound : 0;
    return workspace.ratePerSecond * (1 - drift);
}

LimiterActions LimiterMachine::takeActions()
{
    return std::exchange(this->actions, {});
}

} // namespace damaskgate::limits
