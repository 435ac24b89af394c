#include "damaskgate/lease/leasetable.h"

#include <utility>

namespace damaskgate::lease {

namespace {

template <typename T>
void append(std::vector<T> &to, const std::vector<T> &from)
{
    to.insert(to.end(), from.begin(), from.end());
}

void mergeInto(LeaseBatch &target, const LeaseBatch &batch)
{
    append(target.requests, batch.requests);
    append(target.replies, batch.replies);
    append(target.releases, batch.releases);
    append(target.handoverRequests, batch.handoverRequests);
    append(target.offers, batch.offers);
}

} // namespace

LeaseTable::LeaseTable(const HolderId &self, core::Instant startedAt, std::uint64_t seed,
                       const LeasePolicy &policy, const LeaseGuards &guards)
    : self(self), grantor(startedAt, policy, guards), candidate(self, seed, policy, guards)
{}

void LeaseTable::applyRoster(const RosterPtr &newRoster)
{
    this->rosterId = newRoster->id();
    this->grantor.applyRoster(newRoster->id());
    this->candidate.applyRoster(newRoster);
}

void LeaseTable::setLiveHosts(std::span<const core::HostName> hosts)
{
    this->candidate.setLiveHosts(hosts);
}

void LeaseTable::tick(core::Instant now)
{
    this->candidate.tick(now);
}

void LeaseTable::onBatch(const HolderId &from, const LeaseBatch &batch, core::Instant now)
{
    // Releases are applied first, since a batch may release a partition and request it again.
    for (const LeaseRelease &release : batch.releases) {
        this->grantor.onRelease(from, release, now);
    }
    for (const LeaseRequest &request : batch.requests) {
        if (request.partition < PartitionCount) {
            this->replies[from.host].replies.push_back(
                this->grantor.onRequest(from, batch.roster, request, now));
        }
    }
    for (const LeaseReply &reply : batch.replies) {
        this->candidate.onReply(from.host, reply, now);
    }
    for (const HandoverRequest &request : batch.handoverRequests) {
        this->candidate.onHandoverRequest(from.host, request, now);
    }
    for (const HandoverOffer &offer : batch.offers) {
        this->candidate.onHandoverOffer(offer, now);
    }
}

void LeaseTable::requestTakeover(PartitionId partition, core::Instant now)
{
    this->candidate.requestTakeover(partition, now);
}

void LeaseTable::leave(core::Instant now)
{
    this->candidate.leave(now);
}

void LeaseTable::confirmRelease(PartitionId partition, core::Instant now)
{
    this->candidate.confirmRelease(partition, now);
}

LeaseOutbox LeaseTable::takeOutbox(core::Instant now)
{
    LeaseOutbox outbox;
    const auto collect = [&outbox](LeaseOutbox &&part) {
        for (const auto &[host, batch] : part) {
            mergeInto(outbox[host], batch);
        }
    };
    collect(this->candidate.takeOutbox());
    collect(std::exchange(this->replies, {}));
    while (const auto batchToSelf = outbox.extract(this->self.host)) {
        this->deliverToSelf(batchToSelf.mapped(), now);
        collect(this->candidate.takeOutbox());
        collect(std::exchange(this->replies, {}));
    }
    for (auto &[host, batch] : outbox) {
        batch.roster = this->rosterId;
    }
    return outbox;
}

void LeaseTable::deliverToSelf(const LeaseBatch &batch, core::Instant now)
{
    LeaseBatch ownBatch = batch;
    ownBatch.roster = this->rosterId;
    this->onBatch(this->self, ownBatch, now);
}

std::vector<LeaseChange> LeaseTable::takeChanges()
{
    return this->candidate.takeChanges();
}

std::optional<HeldLease> LeaseTable::heldLease(PartitionId partition, core::Instant now) const
{
    return this->candidate.heldLease(partition, now);
}

std::optional<core::HostName> LeaseTable::holderHint(PartitionId partition) const
{
    return this->candidate.holderHint(partition);
}

std::vector<core::HostName> LeaseTable::preferredHosts(PartitionId partition) const
{
    return this->candidate.preferredHosts(partition);
}

} // namespace damaskgate::lease
