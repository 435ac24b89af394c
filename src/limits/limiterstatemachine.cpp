#include "damaskgate/limits/limiterstatemachine.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace damaskgate::limits {

namespace {

constexpr core::Duration RemovalInterval = std::chrono::seconds(5);
constexpr std::size_t MaxHandovers = 4096;
constexpr std::size_t MaxWaiters = 1024; //!< per workspace

std::chrono::milliseconds toMilliseconds(core::Duration duration)
{
    constexpr core::Duration MaxRetryAfter = std::chrono::hours(1);
    return std::chrono::ceil<std::chrono::milliseconds>(std::min(duration, MaxRetryAfter));
}

} // namespace

lease::PartitionId partitionOf(const core::WorkspaceName &workspace)
{
    return lease::partitionOf("workspace/" + workspace.text());
}

LimiterStateMachine::LimiterStateMachine(lease::HolderId self, const lease::ILeaseView &leases,
                                         const LimiterPolicy &policy, const LimiterGuards &guards)
    : self(std::move(self)), leases(leases), policy(policy), guards(guards)
{}

void LimiterStateMachine::applySettings(settings::SettingsPtr newSettings, core::Instant now)
{
    this->settings = std::move(newSettings);
    for (auto &[name, bucket] : this->buckets) {
        const settings::Workspace *workspace = this->findWorkspace(name);
        const double rate = workspace == nullptr ? 0 : this->driftAdjustedRate(*workspace);
        const double burst = workspace == nullptr ? 0 : workspace->burst;
        bucket.tokens.configure(rate, burst, now);
    }
}

std::uint64_t LimiterStateMachine::admit(const core::WorkspaceName &workspace,
                                         core::Instant deadline, core::Instant now)
{
    const std::uint64_t ticket = ++this->lastTicket;
    PendingAdmission admission;
    admission.workspace = workspace;
    admission.expiresAt = std::min(deadline, now + this->policy.maxAdmissionTime);
    this->pendingAdmissions.emplace(ticket, std::move(admission));
    this->tryAdmission(ticket, now);
    return ticket;
}

void LimiterStateMachine::onMessage(const lease::HolderId &from, const TokenMessage &message,
                                    core::Instant now)
{
    if (const auto *request = std::get_if<TokenRequest>(&message)) {
        this->onTokenRequest(from, *request, now);
    } else if (const auto *reply = std::get_if<TokenReply>(&message)) {
        this->onReply(*reply, now);
    } else if (const auto *handover = std::get_if<TokenHandover>(&message)) {
        this->onHandover(from, *handover, now);
    }
}

void LimiterStateMachine::onTokenRequest(const lease::HolderId &from, const TokenRequest &request,
                                         core::Instant now)
{
    Bucket *bucket = this->localBucket(request.workspace, now);
    const bool isUseTimeValid =
        request.useWithin > core::Duration {} && request.useWithin <= this->policy.maxUseDelay;
    if (bucket == nullptr || !isUseTimeValid) {
        const auto holder = this->leases.holderHint(partitionOf(request.workspace));
        this->send(from.host,
                   TokenReply { request.id,
                                from.incarnation,
                                TokenOutcome::NotHolder,
                                {},
                                holder.value_or(core::HostName()) });
        // Requesters choose a preferred host when no holder is known, so this host may take over.
        this->actions.takeoverRequests.push_back(partitionOf(request.workspace));
        return;
    }
    const Waiter waiter { 0, from.host, request, from.incarnation, now + request.useWithin / 2 };
    if (bucket->waiters.empty() && this->tryGrant(request.workspace, *bucket, waiter, now)) {
        return;
    }
    const auto waitersAhead = static_cast<double>(bucket->waiters.size());
    const core::Duration wait = bucket->tokens.timeUntilTokens(waitersAhead + 1, now);
    if (wait > request.useWithin / 2 || bucket->waiters.size() >= MaxWaiters) {
        this->rejectWaiter(waiter, *bucket, now);
        return;
    }
    bucket->waiters.push_back(waiter);
}

void LimiterStateMachine::onReply(const TokenReply &reply, core::Instant now)
{
    const auto request = this->ticketByRequest.find(reply.id);
    const bool isForThisProcess = reply.incarnation == this->self.incarnation;
    if (request == this->ticketByRequest.end()
        || (!isForThisProcess && this->guards.checksIncarnation)) {
        return;
    }
    const std::uint64_t ticket = request->second;
    this->ticketByRequest.erase(request);
    const auto found = this->pendingAdmissions.find(ticket);
    if (found == this->pendingAdmissions.end()) {
        return;
    }
    PendingAdmission &admission = found->second;
    const bool isLate = now > admission.requestedAt + admission.useWithin;
    admission.requestId = 0;
    if (isLate && this->guards.voidsLateReplies) {
        admission.retryAt = now;
        return;
    }
    const lease::PartitionId partition = partitionOf(admission.workspace);
    if (reply.outcome == TokenOutcome::NotHolder) {
        this->lastHolders.erase(partition);
    } else {
        this->lastHolders[partition] = admission.requestedHost;
    }
    if (reply.outcome == TokenOutcome::Granted) {
        this->decide(ticket, {});
        return;
    }
    if (reply.outcome == TokenOutcome::Empty) {
        this->refuse(ticket, core::Reason::RateLimited, "rate limit of the workspace exceeded",
                     reply.retryAfter);
        return;
    }
    const bool isNewHolder = !reply.holder.isEmpty() && reply.holder != admission.requestedHost;
    admission.hintedHolder = isNewHolder ? reply.holder : core::HostName();
    admission.retryAt = now + (isNewHolder ? core::Duration {} : this->policy.retryDelay);
    // Only the first hint is followed at once; later attempts wait for tick(). Without a hint the
    // next preferred host is tried, so that a wrong hint is not followed forever.
    const bool isFirstFailure = admission.failedAttempts++ == 0;
    if (isNewHolder && isFirstFailure) {
        this->tryAdmission(ticket, now);
    }
}

void LimiterStateMachine::onHandover(const lease::HolderId &from, const TokenHandover &handover,
                                     core::Instant now)
{
    const PendingHandover pending { { from, handover.epoch }, handover.tokens, now };
    const auto heldLease = this->leases.heldLease(partitionOf(handover.workspace), now);
    Bucket *bucket = this->localBucket(handover.workspace, now);
    if (heldLease && bucket != nullptr) {
        this->acceptHandover(*bucket, *heldLease, pending, now);
        return;
    }
    if (this->pendingHandovers.size() < MaxHandovers) {
        this->pendingHandovers.insert_or_assign(handover.workspace, pending);
    }
}

void LimiterStateMachine::onReleasing(lease::PartitionId partition, std::uint32_t epoch,
                                      const std::optional<core::HostName> &successor,
                                      core::Instant now)
{
    core::Instant reservedUntil = now;
    std::deque<Waiter> waiters;
    for (auto &[name, bucket] : this->buckets) {
        if (partitionOf(name) != partition || bucket.epoch != epoch) {
            continue;
        }
        const double tokens = bucket.tokens.drain(now);
        reservedUntil = std::max(reservedUntil, bucket.tokens.reservedUntil());
        bucket.epoch = 0;
        std::ranges::move(bucket.waiters, std::back_inserter(waiters));
        bucket.waiters.clear();
        if (successor) {
            this->send(*successor, TokenHandover { partition, epoch, name, tokens });
        }
    }
    const bool mustWait = this->guards.waitsBeforeRelease;
    this->pendingReleases[partition] = mustWait ? reservedUntil : now;
    this->redirectWaiters(waiters, now);
    this->tick(now);
}

void LimiterStateMachine::redirectWaiters(const std::deque<Waiter> &waiters, core::Instant now)
{
    for (const Waiter &waiter : waiters) {
        // The waiter of a request that has timed out remains in the queue.
        if (this->pendingAdmissions.contains(waiter.ticket)) {
            this->tryAdmission(waiter.ticket, now);
        }
        if (waiter.ticket != 0) {
            continue;
        }
        this->send(
            waiter.host,
            TokenReply { waiter.request.id, waiter.incarnation, TokenOutcome::NotHolder, {}, {} });
    }
}

void LimiterStateMachine::tick(core::Instant now)
{
    std::erase_if(this->pendingReleases, [this, now](const auto &entry) {
        const bool isReady = now >= entry.second;
        if (isReady) {
            this->actions.released.push_back(entry.first);
        }
        return isReady;
    });
    for (auto &[workspace, bucket] : this->buckets) {
        if (!bucket.waiters.empty()) {
            this->grantToWaiters(workspace, bucket, now);
        }
    }
    std::vector<std::uint64_t> tickets;
    tickets.reserve(this->pendingAdmissions.size());
    std::ranges::transform(this->pendingAdmissions, std::back_inserter(tickets),
                           [](const auto &entry) { return entry.first; });
    for (const std::uint64_t ticket : tickets) {
        this->tickAdmission(ticket, now);
    }
    if (now >= this->nextRemoval) {
        this->nextRemoval = now + RemovalInterval;
        this->removeUnused(now);
    }
}

void LimiterStateMachine::tickAdmission(std::uint64_t ticket, core::Instant now)
{
    const auto found = this->pendingAdmissions.find(ticket);
    if (found == this->pendingAdmissions.end()) {
        return;
    }
    PendingAdmission &admission = found->second;
    if (now >= admission.expiresAt) {
        this->refuse(ticket, core::Reason::LimiterUnavailable,
                     "no holder of the workspace's token bucket replied in time",
                     this->policy.maxAdmissionTime);
        return;
    }
    const bool isWaitingForToken =
        admission.requestId == 0 && admission.retryAt == core::Instant {};
    const bool isDue = admission.requestId == 0
        ? now >= admission.retryAt
        : now >= admission.requestedAt + admission.useWithin;
    if (isWaitingForToken || !isDue) {
        return;
    }
    if (admission.requestId != 0) {
        ++admission.failedAttempts;
        admission.hintedHolder = {};
        this->lastHolders.erase(partitionOf(admission.workspace));
        this->actions.takeoverRequests.push_back(partitionOf(admission.workspace));
        if (this->guards.voidsLateReplies) {
            this->ticketByRequest.erase(admission.requestId);
        }
    }
    this->tryAdmission(ticket, now);
}

void LimiterStateMachine::tryAdmission(std::uint64_t ticket, core::Instant now)
{
    PendingAdmission &admission = this->pendingAdmissions.at(ticket);
    admission.requestId = 0;
    admission.retryAt = {};
    if (this->findWorkspace(admission.workspace) == nullptr) {
        this->refuse(ticket, core::Reason::LimiterUnavailable, "unknown workspace", {});
        return;
    }
    if (Bucket *bucket = this->localBucket(admission.workspace, now)) {
        this->admitLocally(ticket, *bucket, now);
        return;
    }
    this->requestToken(ticket, now);
}

void LimiterStateMachine::admitLocally(std::uint64_t ticket, Bucket &bucket, core::Instant now)
{
    PendingAdmission &admission = this->pendingAdmissions.at(ticket);
    if (bucket.waiters.empty() && bucket.tokens.consume(now)) {
        this->decide(ticket, {});
        return;
    }
    const auto waitersAhead = static_cast<double>(bucket.waiters.size());
    const core::Duration wait = bucket.tokens.timeUntilTokens(waitersAhead + 1, now);
    const core::Duration waitLimit = std::min(this->policy.maxWait, admission.expiresAt - now);
    if (wait > waitLimit || bucket.waiters.size() >= MaxWaiters) {
        this->refuse(ticket, core::Reason::RateLimited, "rate limit of the workspace exceeded",
                     wait);
        return;
    }
    Waiter waiter;
    waiter.ticket = ticket;
    waiter.waitUntil = now + waitLimit;
    bucket.waiters.push_back(std::move(waiter));
}

void LimiterStateMachine::requestToken(std::uint64_t ticket, core::Instant now)
{
    PendingAdmission &admission = this->pendingAdmissions.at(ticket);
    const auto target = this->chooseHolder(admission);
    if (!target || *target == this->self.host) {
        this->actions.takeoverRequests.push_back(partitionOf(admission.workspace));
        admission.retryAt = now + this->policy.retryDelay;
        ++admission.failedAttempts;
        return;
    }
    admission.requestedHost = *target;
    admission.requestId = ++this->lastRequestId;
    admission.requestedAt = now;
    admission.useWithin = this->useDelay(*this->findWorkspace(admission.workspace));
    this->ticketByRequest[admission.requestId] = ticket;
    this->send(*target,
               TokenRequest { admission.requestId, admission.useWithin, admission.workspace });
}

std::optional<core::HostName>
LimiterStateMachine::chooseHolder(const PendingAdmission &admission) const
{
    if (!admission.hintedHolder.isEmpty()) {
        return admission.hintedHolder;
    }
    const lease::PartitionId partition = partitionOf(admission.workspace);
    if (admission.failedAttempts == 0) {
        const auto lastHolder = this->lastHolders.find(partition);
        return lastHolder == this->lastHolders.end() ? this->leases.holderHint(partition)
                                                     : lastHolder->second;
    }
    const auto preferredHosts = this->leases.preferredHosts(partition);
    if (preferredHosts.empty()) {
        return std::nullopt;
    }
    return preferredHosts[admission.failedAttempts % preferredHosts.size()];
}

core::Duration LimiterStateMachine::useDelay(const settings::Workspace &workspace) const
{
    // A granted token stays reserved for this time. Within half of the time that the burst takes to
    // refill, requests at the full rate reserve at most half of the burst. minUseDelay takes
    // precedence.
    const std::chrono::duration<double> halfBurst(workspace.burst / 2
                                                  / std::max(workspace.ratePerSecond, 0.001));
    if (halfBurst >= this->policy.maxUseDelay) {
        return this->policy.maxUseDelay;
    }
    return std::max(std::chrono::duration_cast<core::Duration>(halfBurst),
                    this->policy.minUseDelay);
}

void LimiterStateMachine::grantToWaiters(const core::WorkspaceName &workspace, Bucket &bucket,
                                         core::Instant now)
{
    const auto heldLease = this->leases.heldLease(partitionOf(workspace), now);
    if (!heldLease || heldLease->epoch != bucket.epoch) {
        return;
    }
    while (!bucket.waiters.empty()) {
        const Waiter waiter = bucket.waiters.front();
        const bool isGranted = this->tryGrant(workspace, bucket, waiter, now);
        if (!isGranted && now < waiter.waitUntil) {
            return;
        }
        bucket.waiters.pop_front();
        if (!isGranted) {
            this->rejectWaiter(waiter, bucket, now);
        }
    }
}

bool LimiterStateMachine::tryGrant(const core::WorkspaceName &workspace, Bucket &bucket,
                                   const Waiter &waiter, core::Instant now)
{
    if (waiter.ticket == 0) {
        return this->reserveForHost(workspace, bucket, waiter, now);
    }
    if (!this->pendingAdmissions.contains(waiter.ticket)) {
        return true;
    }
    if (!bucket.tokens.consume(now)) {
        return false;
    }
    this->decide(waiter.ticket, {});
    return true;
}

bool LimiterStateMachine::reserveForHost(const core::WorkspaceName &workspace, Bucket &bucket,
                                         const Waiter &waiter, core::Instant now)
{
    const core::Instant usableUntil = now + this->addDriftMargin(waiter.request.useWithin);
    const auto heldLease = this->leases.heldLease(partitionOf(workspace), now);
    const bool isWithinLease = heldLease && usableUntil < heldLease->validUntil;
    if (!isWithinLease && this->guards.endsUseWithLease) {
        this->send(
            waiter.host,
            TokenReply { waiter.request.id, waiter.incarnation, TokenOutcome::NotHolder, {}, {} });
        return true;
    }
    if (!bucket.tokens.reserve(now, usableUntil)) {
        return false;
    }
    this->send(waiter.host,
               TokenReply { waiter.request.id, waiter.incarnation, TokenOutcome::Granted, {}, {} });
    return true;
}

void LimiterStateMachine::rejectWaiter(const Waiter &waiter, Bucket &bucket, core::Instant now)
{
    const auto waitersAhead = static_cast<double>(bucket.waiters.size());
    const core::Duration wait = bucket.tokens.timeUntilTokens(waitersAhead + 1, now);
    if (waiter.ticket == 0) {
        this->send(waiter.host,
                   TokenReply { waiter.request.id,
                                waiter.incarnation,
                                TokenOutcome::Empty,
                                toMilliseconds(wait),
                                {} });
        return;
    }
    this->refuse(waiter.ticket, core::Reason::RateLimited, "rate limit of the workspace exceeded",
                 wait);
}

void LimiterStateMachine::removeUnused(core::Instant now)
{
    std::deque<Waiter> waiters;
    for (auto next = this->buckets.begin(); next != this->buckets.end();) {
        const auto current = next++;
        if (this->isRemovable(current->first, current->second, now)) {
            std::ranges::move(current->second.waiters, std::back_inserter(waiters));
            this->buckets.erase(current);
        }
    }
    this->redirectWaiters(waiters, now);
    std::erase_if(this->pendingHandovers, [this, now](const auto &entry) {
        return now >= entry.second.receivedAt + this->policy.handoverRetention;
    });
    if (!this->guards.voidsLateReplies) {
        return;
    }
    std::erase_if(this->ticketByRequest, [this](const auto &entry) {
        return !this->pendingAdmissions.contains(entry.second);
    });
}

bool LimiterStateMachine::isRemovable(const core::WorkspaceName &workspace, Bucket &bucket,
                                      core::Instant now) const
{
    const auto heldLease = this->leases.heldLease(partitionOf(workspace), now);
    if (!heldLease || heldLease->epoch != bucket.epoch) {
        //! NOTE Keeps the bucket until the next check: onReleasing() may follow the end of the
        //! lease.
        return std::exchange(bucket.hadLeaseEnded, true);
    }
    const settings::Workspace *workspaceSettings = this->findWorkspace(workspace);
    if (workspaceSettings == nullptr || !bucket.waiters.empty() || !bucket.tokens.isIdle(now)) {
        return false;
    }
    // A recreated bucket contains the tokens accrued since the lease was acquired. Only a bucket
    // that would then be full can be removed without losing tokens.
    const std::chrono::duration<double> age = now - heldLease->acquiredAt;
    return this->driftAdjustedRate(*workspaceSettings) * age.count() >= workspaceSettings->burst;
}

const settings::Workspace *
LimiterStateMachine::findWorkspace(const core::WorkspaceName &workspace) const
{
    if (!this->settings) {
        return nullptr;
    }
    const auto found = this->settings->workspaces.find(workspace);
    return found == this->settings->workspaces.end() ? nullptr : &found->second;
}

LimiterStateMachine::Bucket *LimiterStateMachine::localBucket(const core::WorkspaceName &workspace,
                                                              core::Instant now)
{
    const auto heldLease = this->leases.heldLease(partitionOf(workspace), now);
    const settings::Workspace *workspaceSettings = this->findWorkspace(workspace);
    if (!heldLease || workspaceSettings == nullptr) {
        return nullptr;
    }
    const auto found = this->buckets.find(workspace);
    if (found != this->buckets.end() && found->second.epoch == heldLease->epoch) {
        return &found->second;
    }
    return &this->createBucket(*workspaceSettings, *heldLease, now);
}

LimiterStateMachine::Bucket &LimiterStateMachine::createBucket(const settings::Workspace &workspace,
                                                               const lease::HeldLease &heldLease,
                                                               core::Instant now)
{
    const auto old = this->buckets.find(workspace.name);
    std::deque<Waiter> waiters;
    if (old != this->buckets.end()) {
        waiters = std::move(old->second.waiters);
        this->buckets.erase(old);
    }
    TokenBucket tokens(this->driftAdjustedRate(workspace), workspace.burst, heldLease.acquiredAt,
                       this->guards);
    auto &bucket = this->buckets
                       .emplace(workspace.name,
                                Bucket { std::move(tokens), heldLease.epoch, false,
                                         std::move(waiters), false })
                       .first->second;
    const auto handover = this->pendingHandovers.find(workspace.name);
    if (handover != this->pendingHandovers.end()) {
        this->acceptHandover(bucket, heldLease, handover->second, now);
        this->pendingHandovers.erase(handover);
    }
    return bucket;
}

void LimiterStateMachine::acceptHandover(Bucket &bucket, const lease::HeldLease &heldLease,
                                         const PendingHandover &handover, core::Instant now) const
{
    const bool isFromPredecessor = heldLease.predecessor == handover.fromLease;
    if (!isFromPredecessor && this->guards.checksPredecessor) {
        return;
    }
    if (bucket.hasHandover && this->guards.acceptsHandoverOnce) {
        return;
    }
    bucket.hasHandover = true;
    bucket.tokens.acceptHandover(handover.tokens, now);
}

bool LimiterStateMachine::hasPending() const
{
    return !this->pendingAdmissions.empty() || !this->pendingReleases.empty()
        || !this->buckets.empty();
}

void LimiterStateMachine::decide(std::uint64_t ticket, core::Result<void> result)
{
    const auto found = this->pendingAdmissions.find(ticket);
    if (found == this->pendingAdmissions.end()) {
        return;
    }
    this->pendingAdmissions.erase(found);
    this->actions.decisions.push_back({ ticket, std::move(result) });
}

void LimiterStateMachine::refuse(std::uint64_t ticket, core::Reason reason, std::string detail,
                                 core::Duration retryAfter)
{
    auto refusal = core::notRun(reason, std::move(detail));
    if (retryAfter > core::Duration {}) {
        refusal.value().retryAfter = toMilliseconds(retryAfter);
    }
    this->decide(ticket, std::move(refusal));
}

void LimiterStateMachine::send(const core::HostName &to, TokenMessage message)
{
    this->actions.messages.emplace_back(to, std::move(message));
}

core::Duration LimiterStateMachine::addDriftMargin(core::Duration duration) const
{
    return std::chrono::duration_cast<core::Duration>(duration * (1 + this->policy.driftBound));
}

double LimiterStateMachine::driftAdjustedRate(const settings::Workspace &workspace) const
{
    const double drift = this->guards.allowsForDrift ? this->policy.driftBound : 0;
    return workspace.ratePerSecond * (1 - drift);
}

LimiterActions LimiterStateMachine::takeActions()
{
    return std::exchange(this->actions, {});
}

} // namespace damaskgate::limits
