#include "damaskgate/lease/leaseservice.h"

#include <array>
#include <atomic>
#include <memory>
#include <string_view>
#include <utility>

#include "leasecodec.h"

namespace damaskgate::lease {

LeaseService::LeaseService(const HolderId &self, core::IClock &clock, peer::IPeerNetwork &network,
                           core::IEventSink &events, std::uint64_t seed, const LeasePolicy &policy)
    : clock(clock), network(network), events(events), table(self, clock.now(), seed, policy)
{
    network.setHandler(peer::MessageKind::Lease,
                       [this](const peer::Datagram &datagram) { this->onDatagram(datagram); });
}

void LeaseService::addReleaseListener(ReleaseListener listener)
{
    this->releaseListeners.push_back(std::move(listener));
}

void LeaseService::tick()
{
    {
        const std::lock_guard lock(this->mutex);
        this->table.tick(this->clock.now());
    }
    this->flush();
}

void LeaseService::applySettings(const settings::Settings &settings)
{
    const RosterPtr roster = Roster::fromSettings(settings);
    if (roster->id().hash == this->rosterId.hash) {
        return;
    }
    this->rosterId = roster->id();
    const std::lock_guard lock(this->mutex);
    this->table.applyRoster(roster);
}

void LeaseService::setLiveHosts(std::span<const core::HostName> hosts)
{
    const std::lock_guard lock(this->mutex);
    this->table.setLiveHosts(hosts);
}

void LeaseService::requestTakeover(PartitionId partition)
{
    const std::lock_guard lock(this->mutex);
    this->table.requestTakeover(partition, this->clock.now());
}

void LeaseService::leave()
{
    {
        const std::lock_guard lock(this->mutex);
        this->table.leave(this->clock.now());
    }
    this->flush();
}

void LeaseService::onDatagram(const peer::Datagram &datagram)
{
    const auto batch = decodeBatch(datagram.payload);
    if (!batch) {
        this->events.record({ "lease-message-invalid", { { "host", datagram.from.text() } } });
        return;
    }
    {
        const std::lock_guard lock(this->mutex);
        this->table.onBatch({ datagram.from, datagram.incarnation }, *batch, this->clock.now());
    }
    this->flush();
}

void LeaseService::flush()
{
    LeaseOutbox outbox;
    std::vector<LeaseChange> changes;
    {
        const std::lock_guard lock(this->mutex);
        outbox = this->table.takeOutbox(this->clock.now());
        changes = this->table.takeChanges();
    }
    for (const auto &[host, batch] : outbox) {
        for (const auto &payload : encodeBatch(batch)) {
            this->network.send(host, peer::MessageKind::Lease, payload);
        }
    }
    for (const LeaseChange &change : changes) {
        this->publishChange(change);
    }
}

void LeaseService::publishChange(const LeaseChange &change)
{
    static constexpr std::array<std::string_view, 3> EventNames { "lease-acquired", "lease-lost",
                                                                  "lease-releasing" };
    const std::string successor = change.successor ? change.successor->text() : "";
    this->events.record({ std::string(EventNames[static_cast<std::size_t>(change.kind)]),
                          { { "partition", change.partition },
                            { "epoch", change.epoch },
                            { "successor", successor } } });
    if (change.kind != LeaseChange::Kind::Releasing) {
        return;
    }
    const auto remainingListeners =
        std::make_shared<std::atomic<std::size_t>>(this->releaseListeners.size());
    const auto done = [this, remainingListeners, partition = change.partition] {
        if (remainingListeners->fetch_sub(1) == 1) {
            this->confirmRelease(partition);
        }
    };
    if (this->releaseListeners.empty()) {
        this->confirmRelease(change.partition);
        return;
    }
    for (const ReleaseListener &listener : this->releaseListeners) {
        listener({ change.partition, change.epoch, change.successor }, done);
    }
}

void LeaseService::confirmRelease(PartitionId partition)
{
    {
        const std::lock_guard lock(this->mutex);
        this->table.confirmRelease(partition, this->clock.now());
    }
    this->flush();
}

std::optional<HeldLease> LeaseService::heldLease(PartitionId partition, core::Instant now) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.heldLease(partition, now);
}

std::optional<core::HostName> LeaseService::holderHint(PartitionId partition) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.holderHint(partition);
}

std::vector<core::HostName> LeaseService::preferredHosts(PartitionId partition) const
{
    const std::lock_guard lock(this->mutex);
    return this->table.preferredHosts(partition);
}

} // namespace damaskgate::lease
