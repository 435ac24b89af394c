#include "damaskgate/fleet/fleetservice.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "damaskgate/core/hash.h"

#include "fleetcodec.h"
#include "gossipflushschedule.h"
#include "gossipqueues.h"

namespace damaskgate::fleet {

namespace {

constexpr std::chrono::milliseconds TickInterval { 250 };

// A message with this many items and a few host names fits a datagram.
constexpr std::size_t MaxItemsPerMessage = 48;

// A message with this many host names and no items fits a datagram.
constexpr std::size_t MaxNamesPerMessage = 40;

// Heartbeats carry a few names of other hosts so that hosts that know different parts of the fleet
// learn of each other.
constexpr std::size_t NamesPerHeartbeat = 2;

// The seeds are requested to send their host list at each of the first SeedStartTicks ticks, then
// once every SeedPeriodTicks ticks.
constexpr int SeedStartTicks = 8;
constexpr int SeedPeriodTicks = 20;

constexpr int IndirectHeartbeatPeriodTicks = 4;

// A message with this many indirect heartbeats fits a datagram. Larger domains need several.
constexpr std::size_t MaxIndirectHeartbeatsPerMessage = 90;

} // namespace

FleetService::FleetService(const Dependencies &dependencies, FleetTable table,
                           std::vector<core::HostName> seeds)
    : clock(dependencies.clock), events(dependencies.events), network(dependencies.network),
      fleet(std::move(table)), seeds(std::move(seeds)),
      selfHash(core::nameHash(this->fleet.self().text())), tickTimer(dependencies.context),
      flushTimer(dependencies.context), gossipQueues(std::make_unique<GossipQueues>()),
      flushSchedule(std::make_unique<GossipFlushSchedule>())
{
    this->network.setHandler(peer::MessageKind::Fleet, [this](const peer::Datagram &datagram) {
        this->onDatagram(datagram);
    });
}

FleetService::~FleetService() = default;

void FleetService::setStateSource(StateSource source)
{
    this->stateSource = std::move(source);
}

void FleetService::setHostListListener(HostListListener listener)
{
    this->hostListListener = std::move(listener);
}

void FleetService::addChangeListener(ChangeListener listener)
{
    this->changeListeners.push_back(std::move(listener));
}

void FleetService::addContactListener(std::function<void(const Member &)> listener)
{
    this->contactListeners.push_back(std::move(listener));
}

void FleetService::setSeeds(std::vector<core::HostName> names)
{
    if (names == this->seeds) {
        return;
    }
    this->seeds = std::move(names);
    if (this->fleet.addHosts(this->seeds, this->clock.now())) {
        this->notifyHostList();
    }
}

void FleetService::start()
{
    this->fleet.addHosts(this->seeds, this->clock.now());
    this->notifyHostList();
    this->tick();
}

void FleetService::stop()
{
    this->tickTimer.cancel();
    this->flushTimer.cancel();
}

void FleetService::announce()
{
    const auto names = this->fleet.names();
    this->sendTo(names, this->makeHeartbeat());
}

void FleetService::announceLocally()
{
    this->sendTo(this->fleet.localHosts(this->clock.now()), this->makeHeartbeat());
}

void FleetService::publish(GossipItem item)
{
    item.origin = this->selfHash;
    this->gossipQueues->addLocal(item);
    this->scheduleFlush(item.isUrgent);
}

void FleetService::setSnapshotSource(SnapshotSource source)
{
    this->snapshotSource = std::move(source);
}

void FleetService::addListener(Listener listener)
{
    this->gossipListeners.push_back(std::move(listener));
}

const FleetTable &FleetService::table() const
{
    return this->fleet;
}

void FleetService::onDatagram(const peer::Datagram &datagram)
{
    const auto heartbeat = decode(datagram.payload);
    if (!heartbeat) {
        this->events.record({ "fleet-message-malformed", { { "from", datagram.from.text() } } });
        return;
    }
    this->onHeartbeat(datagram, *heartbeat);
}

void FleetService::onHeartbeat(const peer::Datagram &datagram, const Heartbeat &heartbeat)
{
    const core::Instant now = this->clock.now();
    std::vector<core::HostName> reported = heartbeat.knownHosts;
    reported.push_back(datagram.from);
    std::ranges::transform(heartbeat.indirectHeartbeats, std::back_inserter(reported),
                           &IndirectHeartbeat::name);
    const bool isAnyNew = this->fleet.addHosts(reported, now);
    if (this->fleet.onHeartbeat(datagram.from, datagram.incarnation, heartbeat.state, now)) {
        this->events.record({ "host-heard",
                              { { "host", datagram.from.text() },
                                { "domain", heartbeat.state.domain.text() },
                                { "incarnation", datagram.incarnation },
                                { "serving", heartbeat.state.isServing },
                                { "leaving", heartbeat.state.isLeaving } } });
        this->notifyChanged();
    }
    if (this->fleet.onIndirectHeartbeats(heartbeat.state.domain, heartbeat.indirectHeartbeats,
                                         now)) {
        this->notifyChanged();
    }
    if (isAnyNew) {
        this->notifyHostList();
    }
    const Member member { datagram.from, datagram.incarnation, heartbeat.state, now };
    std::ranges::for_each(this->contactListeners,
                          [&member](const auto &listen) { listen(member); });
    if (heartbeat.isHostListRequested) {
        this->sendHostList(datagram.from);
        if (this->snapshotSource && this->fleet.hasJustStarted(datagram.from, now)) {
            this->sendSnapshot(datagram.from);
        }
    }
    this->handleGossip(heartbeat);
}

void FleetService::handleGossip(const Heartbeat &heartbeat)
{
    for (const GossipItem &item : heartbeat.gossipItems) {
        if (item.origin != this->selfHash) {
            std::ranges::for_each(this->gossipListeners,
                                  [&item](const auto &listen) { listen(item); });
        }
    }
    if (this->gossipQueues->addReceived(heartbeat.gossipItems, heartbeat.scope)) {
        this->scheduleFlush(std::ranges::any_of(heartbeat.gossipItems, &GossipItem::isUrgent));
    }
}

void FleetService::sendHostList(const core::HostName &to)
{
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.knownHosts = this->fleet.sample(MaxNamesPerMessage, this->clock.now());
    this->sendTo({ &to, 1 }, heartbeat);
}

void FleetService::sendSnapshot(const core::HostName &to)
{
    std::vector<GossipItem> gossipItems = this->snapshotSource();
    std::ranges::for_each(gossipItems, [this](GossipItem &item) { item.origin = this->selfHash; });
    this->sendGossip(gossipItems, { &to, 1 }, GossipScope::Receiver);
}

void FleetService::sendTo(std::span<const core::HostName> hosts, const Heartbeat &heartbeat)
{
    if (hosts.empty()) {
        return;
    }
    const core::Instant now = this->clock.now();
    this->network.sendToAll(hosts, peer::MessageKind::Fleet, encode(heartbeat));
    std::ranges::for_each(hosts, [this, now](const auto &host) { this->fleet.onSent(host, now); });
}

void FleetService::flushGossip()
{
    const core::Instant now = this->clock.now();
    this->flushSchedule->onFlushed(now);
    const core::HostName hub = this->fleet.hub(now);
    GossipTargets targets { hub, hub == this->fleet.self(), {}, {} };
    if (this->gossipQueues->needsAllTargets(targets.isHub)) {
        targets.localHosts = this->fleet.localHosts(now);
        targets.relays = this->fleet.relays(now);
    }
    for (const GossipBatch &batch : this->gossipQueues->take(targets)) {
        this->sendGossip(batch.gossipItems, batch.hosts, batch.scope);
        if (batch.scope == GossipScope::Fleet || batch.scope == GossipScope::LocalHosts) {
            this->fleet.onSentToHub(hub, now);
        }
    }
}

void FleetService::sendGossip(std::span<const GossipItem> gossipItems,
                              std::span<const core::HostName> hosts, GossipScope scope)
{
    for (std::size_t sent = 0; sent < gossipItems.size(); sent += MaxItemsPerMessage) {
        Heartbeat heartbeat = this->makeHeartbeat();
        heartbeat.scope = scope;
        const auto part =
            gossipItems.subspan(sent, std::min(MaxItemsPerMessage, gossipItems.size() - sent));
        heartbeat.gossipItems.assign(part.begin(), part.end());
        this->sendTo(hosts, heartbeat);
    }
}

void FleetService::scheduleTick()
{
    this->tickTimer.expires_after(TickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->tick();
        }
    });
}

void FleetService::scheduleFlush(bool isUrgent)
{
    const core::Instant now = this->clock.now();
    const auto due = this->flushSchedule->onQueued(isUrgent, now);
    if (!due) {
        return;
    }
    this->flushTimer.expires_after(*due - now);
    this->flushTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->flushGossip();
        }
    });
}

void FleetService::tick()
{
    const core::Instant now = this->clock.now();
    this->fleet.expire(now);
    this->requestHostLists();
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.knownHosts = this->fleet.sample(NamesPerHeartbeat, now);
    this->sendTo(this->fleet.dueHosts(now), heartbeat);
    this->sendIndirectHeartbeats(now);
    const std::size_t live = this->fleet.liveMembers(now).size();
    if (live != this->liveCount) {
        this->events.record({ "fleet-size", { { "live", live }, { "before", this->liveCount } } });
        this->liveCount = live;
        this->notifyChanged();
    }
    ++this->ticks;
    this->scheduleTick();
}

// Forwards heartbeats of the local hosts to the other failure domains.
void FleetService::sendIndirectHeartbeats(core::Instant now)
{
    if (this->ticks % IndirectHeartbeatPeriodTicks != 0) {
        return;
    }
    const auto targets =
        this->fleet.indirectHeartbeatTargets(this->ticks / IndirectHeartbeatPeriodTicks, now);
    const auto all = this->fleet.indirectHeartbeats(now);
    // The first message is sent even if it is empty: it is the heartbeat of this host.
    std::size_t sent = 0;
    do {
        const auto part = std::span(all).subspan(
            sent, std::min(MaxIndirectHeartbeatsPerMessage, all.size() - sent));
        Heartbeat heartbeat = this->makeHeartbeat();
        heartbeat.indirectHeartbeats.assign(part.begin(), part.end());
        this->sendTo(targets, heartbeat);
        sent += part.size();
    } while (sent < all.size());
}

void FleetService::requestHostLists()
{
    if (this->ticks >= SeedStartTicks && this->ticks % SeedPeriodTicks != 0) {
        return;
    }
    Heartbeat heartbeat = this->makeHeartbeat();
    heartbeat.isHostListRequested = true;
    std::vector<core::HostName> receivers;
    std::ranges::copy_if(this->seeds, std::back_inserter(receivers),
                         [this](const auto &seed) { return seed != this->fleet.self(); });
    this->sendTo(receivers, heartbeat);
}

Heartbeat FleetService::makeHeartbeat() const
{
    Heartbeat heartbeat;
    heartbeat.state = this->stateSource();
    return heartbeat;
}

void FleetService::notifyHostList()
{
    if (this->hostListListener) {
        this->hostListListener(this->fleet.names());
    }
}

void FleetService::notifyChanged()
{
    std::ranges::for_each(this->changeListeners, [](const auto &listen) { listen(); });
}

} // namespace damaskgate::fleet
