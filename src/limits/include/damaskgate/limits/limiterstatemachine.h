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

/** @return the lease partition whose holder keeps the token bucket of @p workspace. */
lease::PartitionId partitionOf(const core::WorkspaceName &workspace);

/** Result of one admit() call. */
struct Decision
{
    std::uint64_t ticket = 0;
    core::Result<void> result;
};

/** Actions that the caller of the state machine must carry out, member by member in this order. */
struct LimiterActions
{
    std::vector<Decision> decisions;
    std::vector<std::pair<core::HostName, TokenMessage>> messages;
    //! Partitions that have no holder or whose holder does not reply.
    std::vector<lease::PartitionId> takeoverRequests;
    std::vector<lease::PartitionId> released; //!< partitions whose lease may be released now
};

/**
 * Admits requests of workspaces within their rate and burst.
 *
 * The holder of a workspace's lease keeps its token bucket; the other hosts request tokens from the
 * holder. The class uses no sockets, threads or clocks: the caller passes in messages and the time.
 */
class LimiterStateMachine
{
public:
    LimiterStateMachine(lease::HolderId self, const lease::ILeaseView &leases,
                        const LimiterPolicy &policy = {}, const LimiterGuards &guards = {});

    void applySettings(settings::SettingsPtr newSettings, core::Instant now);

    /**
     * Starts the admission of one request.
     *
     * @return the ticket of the request; exactly one Decision will carry it
     */
    std::uint64_t admit(const core::WorkspaceName &workspace, core::Instant deadline,
                        core::Instant now);

    void onMessage(const lease::HolderId &from, const TokenMessage &message, core::Instant now);

    /**
     * Stops using the lease of @p partition with @p epoch and hands its tokens to @p successor.
     *
     * The partition appears in LimiterActions::released once no reserved token can be used.
     */
    void onReleasing(lease::PartitionId partition, std::uint32_t epoch,
                     const std::optional<core::HostName> &successor, core::Instant now);

    /** Grants tokens to waiting requests, retries token requests and applies time-outs. */
    void tick(core::Instant now);

    /** @return whether tick() must be called although no new request or message has arrived. */
    bool hasPending() const;

    /** @return the actions collected since the last call. */
    LimiterActions takeActions();

private:
    /** A local request that has no decision yet. */
    struct PendingAdmission
    {
        core::WorkspaceName workspace;
        core::Instant expiresAt;
        std::uint64_t requestId = 0; //!< ID of the unanswered TokenRequest; 0: none
        core::HostName requestedHost;
        core::Instant requestedAt;
        core::Duration useWithin {};
        core::Instant retryAt; //!< default value: no retry is scheduled
        core::HostName hintedHolder; //!< holder named by the last NotHolder reply; may be empty
        std::size_t failedAttempts = 0;
    };

    /** A request that waits at its holder for the next token. */
    struct Waiter
    {
        std::uint64_t ticket = 0; //!< ticket of a local request; 0 for a request of another host
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
        bool hadLeaseEnded = false; //!< the lease had ended at the last isRemovable() check
    };

    /** Tokens from a previous holder, received before this host acquired the lease. */
    struct PendingHandover
    {
        lease::LeaseId fromLease;
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
    /** @return the bucket, created if needed; nullptr if this host does not hold its lease. */
    Bucket *localBucket(const core::WorkspaceName &workspace, core::Instant now);
    Bucket &createBucket(const settings::Workspace &workspace, const lease::HeldLease &heldLease,
                         core::Instant now);
    void acceptHandover(Bucket &bucket, const lease::HeldLease &heldLease,
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
    std::map<lease::PartitionId, core::HostName> lastHolders; //!< holders that replied last
    //! Time from which no reserved token of the partition can be used.
    std::map<lease::PartitionId, core::Instant> pendingReleases;
    core::Instant nextRemoval;
    LimiterActions actions;
};

} // namespace damaskgate::limits
