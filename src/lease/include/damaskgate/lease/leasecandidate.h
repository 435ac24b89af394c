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

using LeaseOutbox = std::map<core::HostName, LeaseBatch>;

/** A lease that this process won, lost or is about to give up. */
struct LeaseChange
{
    enum class Kind {
        Acquired,
        Lost, //!< no majority renewed it in time
        Releasing, //!< confirmRelease() must follow once nothing uses the holding any more
    };

    Kind kind = Kind::Acquired;
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::optional<core::HostName> successor; //!< of a release
};

/** Wins, renews and gives up the leases of this process. */
class LeaseCandidate
{
public:
    LeaseCandidate(HolderId self, std::uint64_t seed, const LeasePolicy &policy,
                   const LeaseGuards &guards);

    void applyRoster(RosterPtr newRoster);

    /** @param hosts that run and are not leaving, as far as this host knows */
    void setLiveHosts(std::span<const core::HostName> hosts);

    /** Starts rounds that are due and notes the holdings that ended. */
    void tick(core::Instant now);

    void onReply(const core::HostName &from, const LeaseReply &reply, core::Instant now);
    void onHandoverRequest(const core::HostName &from, const HandoverRequest &ask,
                           core::Instant now);
    void onHandoverOffer(const HandoverOffer &offer, core::Instant now);

    /** Notes that work for @p partition arrived here and that its holder did not answer. */
    void requestTakeover(PartitionId partition, core::Instant now);

    /** Gives up every holding and seeks no other. */
    void leave(core::Instant now);

    /** Tells the grantors and the successor of a holding that is being given up. */
    void confirmRelease(PartitionId partition, core::Instant now);

    std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const;
    std::optional<core::HostName> holderHint(PartitionId partition) const;
    std::vector<core::HostName> preferredHosts(PartitionId partition) const;

    /** @return the messages to send since the last call. */
    LeaseOutbox takeOutbox();

    /** @return the changes since the last call. */
    std::vector<LeaseChange> takeChanges();

private:
    struct Round
    {
        std::uint64_t sequence = 0; //!< zero: none
        core::Instant sentAt;
        std::set<core::HostName> granted;
        std::set<LeaseId> predecessors;
        std::map<LeaseId, std::set<core::HostName>> denied;
    };

    struct State
    {
        Round round;
        HeldLease held;
        bool isHeld = false;
        bool isReleasing = false;
        std::optional<core::HostName> successor;
        std::uint32_t epoch = 1; //!< of the present or the next holding
        std::size_t rank = Roster::RankingLength; //!< among the live hosts
        core::Instant nextAttempt;
        core::Instant demandUntil;
        core::Instant handoverFrom;
        std::optional<core::HostName> hint;
    };

    void updateRanks();
    void tickPartition(PartitionId partition, bool isRenewalDue, core::Instant now);
    bool wants(const State &state, core::Instant now) const;
    void startRound(PartitionId partition, core::Instant now);
    void onGrant(PartitionId partition, const core::HostName &from, const LeaseReply &reply,
                 core::Instant now);
    void onDenial(PartitionId partition, const core::HostName &from, const LeaseReply &reply,
                  core::Instant now);
    void acquire(PartitionId partition, core::Instant validUntil, core::Instant now);
    void lose(PartitionId partition);
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
    std::set<core::HostName> live;
    std::vector<State> states;
    std::uint64_t sequence = 0;
    std::uint64_t random;
    core::Instant nextRenewal;
    bool isLeaving = false;
    LeaseOutbox outbox;
    std::vector<LeaseChange> changes;
};

} // namespace damaskgate::lease
