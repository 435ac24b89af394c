#include "controlplane.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <set>
#include <utility>

namespace damaskgate::daemon {

namespace {

// Longer than LookupTimeToLive: until it has passed, callers may still use a look-up response that
// lists this host.
constexpr std::chrono::milliseconds OutOfServiceGrace { 2500 };

peer::PeerAddress toPeerAddress(const settings::Host &host)
{
    return peer::PeerAddress { host.name, host.address, host.peerPort };
}

publication::PlatformReaderOptions readerOptions(const settings::HostSettings &host,
                                                 std::uint64_t incarnation)
{
    publication::PlatformReaderOptions options;
    options.replicas = host.platform;
    options.randomSeed = incarnation;
    return options;
}

} // namespace

ControlPlane::ControlPlane(const Dependencies &dependencies, const settings::HostSettings &host,
                           std::uint64_t incarnation)
    : clock(dependencies.clock), events(dependencies.events), gate(dependencies.gate), host(host),
      store(dependencies.events),
      peers(dependencies.context.get_executor(),
            peer::PeerIdentity { host.name, incarnation, host.fleetSecret }, dependencies.events),
      members(dependencies.context, dependencies.clock, this->peers, dependencies.events, host.name,
              incarnation),
      leaseService(lease::HolderId { host.name, incarnation }, dependencies.clock, this->peers,
                   dependencies.events, incarnation),
      reader(dependencies.context, readerOptions(host, incarnation), this->store,
             dependencies.events, dependencies.clock),
      watchElection(host.name, host.domain),
      relay(dependencies.context.get_executor(), this->store, dependencies.events),
      startGate(dependencies.clock.now()), tickTimer(dependencies.context)
{
    this->store.addListener(
        [this](const settings::SettingsPtr &settings) { this->applySettings(settings); });
    this->reader.setHostListListener(this);
    this->reader.setPlatformListener(this);
    this->members.addChangeListener([this] { this->onMembersChanged(); });
    this->members.setRevisionListener(
        [this](const core::HostName &sender, const settings::Revision &revision) {
            this->onNewerRevision(sender, revision);
        });
}

ControlPlane::~ControlPlane()
{
    this->halt();
}

core::Result<void> ControlPlane::start()
{
    const auto port = this->peers.start(this->host.address, this->host.peerPort);
    if (!port) {
        return tl::unexpected(port.error());
    }
    const auto relayPort = this->relay.serve(this->host.address, this->host.peerPort);
    if (!relayPort) {
        return tl::unexpected(relayPort.error());
    }
    this->connectSeeds();
    this->members.start();
    this->reader.start();
    this->scheduleTick();
    return {};
}

void ControlPlane::halt()
{
    this->tickTimer.cancel();
    this->reader.stop();
    this->members.stop();
    this->relay.stop();
    this->peers.stop();
}

void ControlPlane::announceLeaving()
{
    this->members.announceLeaving();
    this->leaseService.leave();
}

void ControlPlane::setLiveHostsListener(LiveHostsListener listener)
{
    this->liveHostsListener = std::move(listener);
}

settings::SettingsStore &ControlPlane::settingsStore()
{
    return this->store;
}

const settings::SettingsStore &ControlPlane::settingsStore() const
{
    return this->store;
}

lease::LeaseService &ControlPlane::leases()
{
    return this->leaseService;
}

peer::UdpPeerNetwork &ControlPlane::network()
{
    return this->peers;
}

const peer::UdpPeerNetwork &ControlPlane::network() const
{
    return this->peers;
}

const membership::MembershipService &ControlPlane::membership() const
{
    return this->members;
}

void ControlPlane::onHostList(const std::vector<publication::ListedHost> &hosts)
{
    if (hosts == this->listedHosts) {
        return;
    }
    this->listedHosts = hosts;
    this->events.record({ "host-list-read", { { "hosts", hosts.size() } } });
    this->onMembersChanged();
}

void ControlPlane::onPlatformAnswered(core::Instant sentAt)
{
    this->freshness.onPlatformAnswered(sentAt);
    this->updateFreshness();
}

void ControlPlane::applySettings(const settings::SettingsPtr &settings)
{
    this->startGate.onAccepted(settings->revision);
    this->freshness.setOtherHosts(settings->hosts.size() - settings->hosts.count(this->host.name));
    std::vector<peer::PeerAddress> addresses;
    std::ranges::transform(settings->hosts | std::views::values, std::back_inserter(addresses),
                           toPeerAddress);
    this->peers.setHosts(addresses);
    this->members.applySettings(*settings);
    this->leaseService.applySettings(*settings);
    this->updateServingState(*settings);
    this->onMembersChanged();
}

void ControlPlane::onMembersChanged()
{
    const settings::SettingsPtr settings = this->store.current();
    if (!settings) {
        return;
    }
    this->publishLiveHosts(*settings);
    this->updateReadTiming(*settings);
}

void ControlPlane::onNewerRevision(const core::HostName &sender, const settings::Revision &revision)
{
    this->startGate.onPeerRevision(revision);
    const auto address = this->peerAddressOf(sender);
    if (!address) {
        return;
    }
    const auto ignoreResult = [](const core::Result<settings::OfferResult> & /*result*/) {
    };
    this->relay.fetch(sender, address->address, address->port, revision, ignoreResult);
}

std::optional<settings::SocketAddress> ControlPlane::peerAddressOf(const core::HostName &name) const
{
    if (const settings::SettingsPtr settings = this->store.current()) {
        const auto found = settings->hosts.find(name);
        if (found != settings->hosts.end()) {
            return settings::SocketAddress { found->second.address, found->second.peerPort };
        }
    }
    const auto seed = std::ranges::find(this->host.seedPeers, name, &settings::SeedPeer::host);
    if (seed != this->host.seedPeers.end()) {
        return seed->address;
    }
    return std::nullopt;
}

void ControlPlane::updateReadTiming(const settings::Settings &settings)
{
    std::vector<publication::WatchCandidate> live;
    for (const core::HostName &name : this->members.table().liveHosts()) {
        const auto found = settings.hosts.find(name);
        if (found != settings.hosts.end()) {
            live.push_back(publication::WatchCandidate { name, found->second.domain });
        }
    }
    this->reader.setTiming(this->watchElection.timingFor(live));
}

void ControlPlane::updateServingState(const settings::Settings &settings)
{
    const auto self = settings.hosts.find(this->host.name);
    const bool isServing =
        self != settings.hosts.end() && settings::isInService(settings, self->second);
    if (isServing) {
        this->outOfServiceSince.reset();
        this->gate.setOutOfServiceAt(core::Instant::max());
        return;
    }
    if (!this->outOfServiceSince) {
        this->outOfServiceSince = this->clock.now();
        this->gate.setOutOfServiceAt(*this->outOfServiceSince + OutOfServiceGrace);
        this->events.record({ "host-out-of-service", { { "host", this->host.name.text() } } });
    }
}

void ControlPlane::updateFreshness()
{
    if (const auto contact = this->members.table().contactSince()) {
        this->startGate.onFleetContact();
        this->freshness.onFleetContact(*contact);
    }
    if (this->startGate.mayServe(this->clock.now())) {
        this->gate.setFreshUntil(this->freshness.freshUntil());
    }
}

void ControlPlane::publishLiveHosts(const settings::Settings &settings)
{
    std::set<core::HostName> leaving;
    for (const publication::ListedHost &listed : this->listedHosts) {
        if (listed.state == publication::ListedHost::State::Leaving) {
            leaving.insert(listed.name);
        }
    }
    std::vector<settings::Host> serving;
    std::vector<core::HostName> holders;
    for (const core::HostName &name : this->members.table().liveHosts()) {
        const auto found = settings.hosts.find(name);
        if (found != settings.hosts.end() && settings::isInService(settings, found->second)
            && !leaving.contains(name)) {
            serving.push_back(found->second);
            holders.push_back(name);
        }
    }
    this->leaseService.setLiveHosts(holders);
    if (this->liveHostsListener) {
        this->liveHostsListener(std::move(serving));
    }
}

void ControlPlane::connectSeeds()
{
    std::vector<peer::PeerAddress> addresses;
    std::vector<core::HostName> names;
    for (const settings::SeedPeer &seed : this->host.seedPeers) {
        addresses.push_back({ seed.host, seed.address.address, seed.address.port });
        names.push_back(seed.host);
    }
    this->peers.setHosts(addresses);
    this->members.applyHosts(names);
}

void ControlPlane::scheduleTick()
{
    this->tickTimer.expires_after(lease::LeaseService::TickInterval);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->leaseService.tick();
        this->updateFreshness();
        this->scheduleTick();
    });
}

} // namespace damaskgate::daemon
