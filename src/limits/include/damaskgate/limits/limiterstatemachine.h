#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/lease/ileaseview.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/limits/limiterpolicy.h"
#include "damaskgate/limits/tokenbucket.h"
#include "damaskgate/limits/tokenmessages.h"

namespace damaskgate::limits {

/** @return the partition whose holder keeps the bucket of @p workspace. */
lease::PartitionId partitionOf(const core::WorkspaceName &workspace);

/** The answer to one admit(). */
struct Decision
{
    std::uint64_t ticket = 0;
    core::Result<void> result;
};

/** What the limiter wants done, in this order. */
struct LimiterActions
{
    std::vector<Decision> decisions;
    std::vector<std::pair<core::HostName, TokenMessage>> messages;
    std::vector<lease::PartitionId> takeoverRequests; //!< partitions whose holder does not answer
    std::vector<lease::PartitionId> released; //!< partitions that may be released now
};

/** Admits requests of workspaces within their rate and burst; knows no socket, thread or clock. */
class LimiterStateMachine
{
public:
    LimiterStateMachine(lease::HolderId self, const lease::ILeaseView &leases,
                        const LimiterPolicy &policy = {}, const LimiterGuards &guards = {});

    void applySettings(settings::SettingsPtr newSettings, core::Instant now);

    /** @return the ticket that the one Decision for this request will carry. */
    std::uint64_t admit(const core::WorkspaceName &workspace, core::Instant deadline,
                        core::Instant now);

    void onMessage(const lease::HolderId &from, const TokenMessage &message, core::Instant now);

    /** Ends the holding @p epoch of @p partition; an entry in `released` follows. */
    void onReleasing(lease::PartitionId partition, std::uint32_t epoch,
                     const std::optional<core::HostName> &successor, core::Instant now);

    /** Answers what has waited long enough. */
    void tick(core::Instant now);

    /** @return whether tick() may have work before the next event. */
    bool hasPending() const;

    /** @return what to do since the last call. */
    LimiterActions takeActions();

private:
    struct PendingAdmission
    {
        core::WorkspaceName workspace;
        core::Instant expiresAt;
        std::uint64_t requestId = 0; //!< zero: no question is out
        core::HostName requestedHost;
        core::Instant requestedAt;
        core::Duration useWithin {};
        core::Instant retryAt;
        core::HostName hintedHolder;
        std::size_t failedAttempts = 0;
    };

    struct Waiter
    {
        std::uint64_t ticket = 0; //!< of a local request; zero for another host's
        core::HostName host;
        TokenRequest request;
        std::uint64_t incarnation = 0;
        core::Instant waitUntil;
    };

    struct Bucket
    {
        TokenBucket tokens;
        std::uint32_t epoch = 0;
        bool hasHandover = false;
        std::deque<Waiter> waiters;
        bool hadLeaseEnded = false; //!< its heldLease had ended when that was last looked at
    };

    struct PendingHandover
    {
        lease::HoldingId fromLease;
        double tokens = 0;
        core::Instant receivedAt;
    };

    void onTokenRequest(const lease::HolderId &from, const TokenRequest &request,
                        core::Instant now);
    void onReply(const TokenReply &reply, core::Instant now);
    void onHandover(const lease::HolderId &from, const TokenHandover &handover, core::Instant now);

    void tryAdmission(std::uint64_t ticket, core::Instant now);
    void admitLocally(std::uint64_t ticket, Bucket &bucket, core::Instant now);
    void requestToken(std::uint64_t ticket, core::Instant now);
    std::optional<core::HostName> chooseHolder(const PendingAdmission &admission) const;
    core::Duration useDelay(const settings::Workspace &workspace) const;
    void tickAdmission(std::uint64_t ticket, core::Instant now);
    void grantToWaiters(const core::WorkspaceName &workspace, Bucket &bucket, core::Instant now);
    bool tryGrant(const core::WorkspaceName &workspace, Bucket &bucket, const Waiter &waiter,
                  core::Instant now);
    bool reserveForHost(const core::WorkspaceName &workspace, Bucket &bucket, const Waiter &waiter,
                        core::Instant now);
    void rejectWaiter(const Waiter &waiter, Bucket &bucket, core::Instant now);
    void removeUnused(core::Instant now);
    bool isRemovable(const core::WorkspaceName &workspace, Bucket &bucket, core::Instant now) const;

    const settings::Workspace *findWorkspace(const core::WorkspaceName &workspace) const;
    Bucket *localBucket(const core::WorkspaceName &workspace, core::Instant now);
    Bucket &createBucket(const settings::Workspace &workspace, const lease::Holding &heldLease,
                         core::Instant now);
    void acceptHandover(Bucket &bucket, const lease::Holding &heldLease,
                        const PendingHandover &handover, core::Instant now) const;
    void redirectWaiters(const std::deque<Waiter> &waiters, core::Instant now);
    void decide(std::uint64_t ticket, core::Result<void> result);
    void refuse(std::uint64_t ticket, core::Reason reason, std::string detail,
                core::Duration retryAfter);
    void send(const core::HostName &to, TokenMessage message);
    core::Duration addDriftMargin(core::Duration duration) const;
    double driftAdjustedRate(const settings::Workspace &workspace) const;

    lease::HolderId self;
    const lease::ILeaseView &leases;
    LimiterPolicy policy;
    LimiterGuards guards;
    settings::SettingsPtr settings;
    std::uint64_t lastTicket = 0;
    std::uint64_t lastRequestId = 0;
    std::map<std::uint64_t, PendingAdmission> pendingAdmissions;
    std::unordered_map<std::uint64_t, std::uint64_t> ticketByRequest;
    std::unordered_map<core::WorkspaceName, Bucket> buckets;
    std::unordered_map<core::WorkspaceName, PendingHandover> pendingHandovers;
    std::map<lease::PartitionId, core::HostName> lastHolders; //!< that answered last
    std::map<lease::PartitionId, core::Instant>
        pendingReleases; //!< when the last lent token is void
    core::Instant nextRemoval;
    LimiterActions actions;
};

} // namespace damaskgate::limits
