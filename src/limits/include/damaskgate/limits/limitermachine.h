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
    std::vector<lease::PartitionId> demands; //!< partitions whose holder does not answer
    std::vector<lease::PartitionId> released; //!< partitions that may be released now
};

/** Admits requests of workspaces within their rate and burst; knows no socket, thread or clock. */
class LimiterMachine
{
public:
    LimiterMachine(lease::HolderId self, const lease::ILeaseView &leases,
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
    struct Attempt
    {
        core::WorkspaceName workspace;
        core::Instant giveUpAt;
        std::uint64_t askId = 0; //!< zero: no question is out
        core::HostName asked;
        core::Instant askedAt;
        core::Duration useWithin {};
        core::Instant retryAt;
        core::HostName hint;
        std::size_t unanswered = 0;
    };

    struct Waiter
    {
        std::uint64_t ticket = 0; //!< of a local request; zero for another host's
        core::HostName host;
        TakeRequest request;
        std::uint64_t incarnation = 0;
        core::Instant until;
    };

    struct Bucket
    {
        TokenBucket tokens;
        std::uint32_t epoch = 0;
        bool hasHandover = false;
        std::deque<Waiter> waiters;
        bool isEnded = false; //!< its holding had ended when that was last looked at
    };

    struct PendingHandover
    {
        lease::LeaseId from;
        double tokens = 0;
        core::Instant receivedAt;
    };

    void onTake(const lease::HolderId &from, const TakeRequest &request, core::Instant now);
    void onReply(const TakeReply &reply, core::Instant now);
    void onHandover(const lease::HolderId &from, const TokenHandover &handover, core::Instant now);

    void advance(std::uint64_t ticket, core::Instant now);
    void admitLocally(std::uint64_t ticket, Bucket &bucket, core::Instant now);
    void askHolder(std::uint64_t ticket, core::Instant now);
    std::optional<core::HostName> chooseHolder(const Attempt &attempt) const;
    core::Duration useDelay(const settings::Workspace &workspace) const;
    void tickAttempt(std::uint64_t ticket, core::Instant now);
    void serveWaiters(const core::WorkspaceName &workspace, Bucket &bucket, core::Instant now);
    bool serve(const core::WorkspaceName &workspace, Bucket &bucket, const Waiter &waiter,
               core::Instant now);
    bool lend(const core::WorkspaceName &workspace, Bucket &bucket, const Waiter &waiter,
              core::Instant now);
    void dismiss(const Waiter &waiter, Bucket &bucket, core::Instant now);
    void removeEnded(core::Instant now);
    bool isRemovable(const core::WorkspaceName &workspace, Bucket &bucket, core::Instant now) const;

    const settings::Workspace *find(const core::WorkspaceName &workspace) const;
    Bucket *ownBucket(const core::WorkspaceName &workspace, core::Instant now);
    Bucket &createBucket(const settings::Workspace &workspace, const lease::HeldLease &holding,
                         core::Instant now);
    void acceptHandover(Bucket &bucket, const lease::HeldLease &holding,
                        const PendingHandover &handover, core::Instant now) const;
    void redirect(const std::deque<Waiter> &waiters, core::Instant now);
    void decide(std::uint64_t ticket, core::Result<void> result);
    void refuse(std::uint64_t ticket, core::Reason reason, std::string detail,
                core::Duration retryAfter);
    void send(const core::HostName &to, TokenMessage message);
    core::Duration stretch(core::Duration duration) const;
    double slowRate(const settings::Workspace &workspace) const;

    lease::HolderId self;
    const lease::ILeaseView &leases;
    LimiterPolicy policy;
    LimiterGuards guards;
    settings::SettingsPtr settings;
    std::uint64_t lastTicket = 0;
    std::uint64_t lastAsk = 0;
    std::map<std::uint64_t, Attempt> attempts;
    std::unordered_map<std::uint64_t, std::uint64_t> ticketOfAsk;
    std::unordered_map<core::WorkspaceName, Bucket> buckets;
    std::unordered_map<core::WorkspaceName, PendingHandover> handovers;
    std::map<lease::PartitionId, core::HostName> holders; //!< that answered last
    std::map<lease::PartitionId, core::Instant> releasing; //!< when the last lent token is void
    core::Instant nextRemoval;
    LimiterActions actions;
};

} // namespace damaskgate::limits
