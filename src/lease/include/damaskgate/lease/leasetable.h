#pragma once

#include <optional>
#include <span>
#include <vector>

#include "damaskgate/lease/ileaseview.h"
#include "damaskgate/lease/leasecandidate.h"
#include "damaskgate/lease/leasegrantor.h"

namespace damaskgate::lease {

/** Candidate and grantor of the lease protocol at one host, without sockets, threads or clocks. */
class LeaseTable final : public ILeaseView
{
public:
    /**
     * @param startedAt when this process started
     * @param seed seed of the random retry delays
     */
    LeaseTable(const HolderId &self, core::Instant startedAt, std::uint64_t seed,
               const LeasePolicy &policy = {}, const LeaseGuards &guards = {});

    void applyRoster(const RosterPtr &newRoster);
    void setLiveHosts(std::span<const core::HostName> hosts);
    void tick(core::Instant now);
    void onBatch(const HolderId &from, const LeaseBatch &batch, core::Instant now);
    void requestTakeover(PartitionId partition, core::Instant now);
    void leave(core::Instant now);
    void confirmRelease(PartitionId partition, core::Instant now);

    /** @return the messages to other hosts that were queued since the last call. */
    LeaseOutbox takeOutbox(core::Instant now);

    /** @return the changes since the last call. */
    std::vector<LeaseChange> takeChanges();

    std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const override;
    std::optional<core::HostName> holderHint(PartitionId partition) const override;
    std::vector<core::HostName> preferredHosts(PartitionId partition) const override;

private:
    void deliverToSelf(const LeaseBatch &batch, core::Instant now);

    HolderId self;
    RosterId rosterId;
    LeaseGrantor grantor;
    LeaseCandidate candidate;
    LeaseOutbox replies;
};

} // namespace damaskgate::lease
