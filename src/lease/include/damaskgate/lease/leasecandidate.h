#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "damaskgate/lease/leaseguards.h"
#include "damaskgate/lease/leasetypes.h"
#include "damaskgate/lease/roster.h"

namespace damaskgate::lease {

/** Messages to send, by receiving host. */
using LeaseOutbox = std::map<core::HostName, LeaseBatch>;

/** Change of a lease of this process: acquired, lost or about to be released. */
struct LeaseChange
{
    enum class Kind {
        Acquired,
        Lost, //!< the lease expired because no majority of grantors renewed it in time
        Releasing, //!< the caller must call confirmRelease() once nothing uses the lease any more
    };

    Kind kind = Kind::Acquired;
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::optional<core::HostName> successor; //!< host to take over after a release
};

/**
 * Acquires, renews and releases the leases of this process.
 *
 * Each attempt to acquire or renew a lease is a round: one request to every grantor of the
 * partition. The round succeeds when a majority of each grantor set has granted it.
 */
class LeaseCandidate
{
public:
    LeaseCandidate(HolderId self, std::uint64_t seed, const LeasePolicy &policy,
                   const LeaseGuards &guards);

    void applyRoster(RosterPtr newRoster);

    /** @param hosts that are alive and not leaving, according to this host's membership view */
    void setLiveHosts(std::span<const core::HostName> hosts);

    /** Starts the rounds that are due and reports expired leases as lost. */
    void tick(core::Instant now);

    void onReply(const core::HostName &from, const LeaseReply &reply, core::Instant now);
    void onHandoverRequest(const core::HostName &from, const HandoverRequest &request,
                           core::Instant now);
    void onHandoverOffer(const HandoverOffer &offer, core::Instant now);

    /**
     * Requests that this host take over @p partition, because work for it arrived here and its
     * holder did not reply. Only preferred hosts act on it.
     */
    void requestTakeover(PartitionId partition, core::Instant now);

    /** Releases every lease and acquires no more. */
    void leave(core::Instant now);

    /** Completes a release: notifies the grantors and the successor that @p partition is free. */
    void confirmRelease(PartitionId partition, core::Instant now);

    std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const;
    std::optional<core::HostName> holderHint(PartitionId partition) const;
    std::vector<core::HostName> preferredHosts(PartitionId partition) const;

    /** @return the messages to send that were queued since the last call. */
    LeaseOutbox takeOutbox();

    /** @return the changes since the last call. */
    std::vector<LeaseChange> takeChanges();

private:
    struct Round
    {
        std::uint64_t sequence = 0; //!< zero if there is no round
        core::Instant sentAt;
        std::set<core::HostName> granted;
        std::set<LeaseId> predecessors;
        std::map<LeaseId, std::set<core::HostName>> denied;
    };

    struct State
    {
        Round round;
        HeldLease lease;
        bool isHeld = false;
        bool isReleasing = false;
        std::optional<core::HostName> successor;
        std::uint32_t epoch = 1; //!< epoch of the held lease, or of the next one
        std::size_t rank = Roster::RankingLength; //!< number of better-ranked live hosts
        core::Instant nextAttempt;
        core::Instant takeoverRequestedUntil;
        core::Instant handoverAllowedFrom;
        std::optional<core::HostName> holderHint;
    };

    void updateRanks();
    void tickPartition(PartitionId partition, bool isRenewalDue, core::Instant now);
    bool shouldAcquire(const State &state, core::Instant now) const;
    void startRound(PartitionId partition, core::Instant now);
    void onGrant(PartitionId partition, const core::HostName &from, const LeaseReply &reply,
                 core::Instant now);
    void onDenial(PartitionId partition, const core::HostName &from, const LeaseReply &reply,
                  core::Instant now);
    void acquire(PartitionId partition, core::Instant validUntil, core::Instant now);
    void markLost(PartitionId partition);
    void beginRelease(PartitionId partition, const std::optional<core::HostName> &successor,
                      core::Instant now);
    void abandonRound(PartitionId partition, core::Instant now);
    bool isMajority(PartitionId partition, const std::set<core::HostName> &hosts) const;
    bool isBetterRanked(PartitionId partition, const core::HostName &first,
                        const core::HostName &second) const;
    std::set<core::HostName> grantorsOf(PartitionId partition) const;
    core::Duration jitter();
    LeaseBatch &batchTo(const core::HostName &host);

    HolderId self;
    LeasePolicy policy;
    LeaseGuards guards;
    RosterPtr roster;
    std::set<core::HostName> liveHosts;
    std::vector<State> states;
    std::uint64_t sequence = 0;
    std::uint64_t random;
    core::Instant nextRenewal;
    bool isLeaving = false;
    LeaseOutbox outbox;
    std::vector<LeaseChange> changes;
};

} // namespace damaskgate::lease
