#include "damaskgate/gateway/gateway.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <iterator>
#include <random>
#include <utility>

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/entry/entryserver.h"
#include "damaskgate/fleet/fleetservice.h"
#include "damaskgate/limits/sharedadmission.h"
#include "damaskgate/metrics/registry.h"
#include "damaskgate/mirror/mirrorservice.h"
#include "damaskgate/peer/incarnation.h"
#include "damaskgate/peer/udppeernetwork.h"
#include "damaskgate/requestlog/requestrecorder.h"
#include "damaskgate/timeline/eventlog.h"
#include "damaskgate/upstreams/fleetbalancer.h"

#include "livesettings.h"
#include "servingstate.h"

namespace damaskgate::gateway {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout { 400 }; // to an endpoint, in its own region
constexpr std::size_t MaxHeaderBytes = 65536; // above the limits that operators set today (16 KB)
constexpr std::chrono::milliseconds MaintainInterval { 500 };
constexpr std::chrono::milliseconds SettleTime { 2200 }; // registrations return within 2 s
constexpr std::chrono::seconds ShareWindow { 10 }; // a silent host counts as alive for that long
constexpr std::chrono::milliseconds LeaveTime { 3000 }; // callers turn away before accepting ends
constexpr std::chrono::milliseconds FinishMargin { 300 }; // before the platform kills the process
constexpr std::chrono::milliseconds FinishPoll { 50 };
constexpr std::size_t MaxLookupHosts = 64;
constexpr int UnavailableExitCode = 3;

entry::EntryOptions entryOptions(const GatewayOptions &options, std::uint64_t incarnation)
{
    entry::EntryOptions result;
    result.host = options.name;
    result.dialect = options.dialect;
    result.incarnation = incarnation;
    result.fleetSecret = options.fleetSecret;
    result.connectTimeout = ConnectTimeout;
    result.maxConnections = options.maxConnections;
    result.maxHeaderBytes = MaxHeaderBytes;
    return result;
}

std::vector<core::HostName> toNames(const std::vector<std::string> &addresses)
{
    std::vector<core::HostName> names;
    std::ranges::transform(addresses, std::back_inserter(names),
                           [](const std::string &address) { return core::HostName(address); });
    return names;
}

/** Tells of each finished request those that learn from it. */
class RequestObservers final : public entry::IRequestObserver
{
public:
    RequestObservers(requestlog::RequestRecorder &recorder, upstreams::FleetBalancer &balancer)
        : recorder(recorder), balancer(balancer)
    {}

    void onRequestFinished(const entry::RequestRecord &record) override
    {
        this->recorder.onRequestFinished(record);
        const bool isRefused = record.reason && record.attempts == 0 && !record.isCancelled;
        if (isRefused && !record.service.isEmpty()) {
            this->balancer.onRefused(record.service);
        }
    }

private:
    requestlog::RequestRecorder &recorder;
    upstreams::FleetBalancer &balancer;
};

/** A look-up through HTTP fields is not offered here: callers use the look-up port. */
class NoLookup final : public entry::ILookup
{
public:
    std::vector<entry::LookupEntry> rankFor(const core::WorkspaceName & /*workspace*/) override
    {
        return {};
    }

    std::chrono::seconds timeToLive() const override
    {
        return std::chrono::seconds(0);
    }
};

} // namespace

class Gateway::Impl
{
public:
    Impl(GatewayOptions given, const PublicationFactory &makePublication);

    int run();

private:
    core::Result<void> listen();
    void connectParts();
    fleet::HostState describeSelf() const;
    void followHosts(const std::vector<core::HostName> &names);
    void onDataChanged();
    void applySettings(const Items &items);
    void applyEndpoints();
    void reportUnreadable(const std::vector<UnreadableItem> &items);
    void onFleetChanged();
    std::vector<const fleet::Member *> servingMembers() const; //!< other hosts that take callers
    bool isSettled() const;
    std::vector<entry::LookupEntry> lookupEntries();
    http::QueryResponse answerPeer(const http::Query &query) const;
    void scheduleMaintenance();
    void awaitSignal();
    void onSignal(int number);
    void leave();
    void finishWhenIdle(core::Instant latest);

    GatewayOptions options;
    core::HostName peerName; //!< hosts call each other by IP number
    std::uint64_t incarnation;
    core::SystemClock clock;
    boost::asio::io_context context { 1 };
    timeline::EventLog events;
    metrics::Registry registry;
    std::unique_ptr<IPublication> publication;
    peer::UdpPeerNetwork network;
    fleet::FleetService fleet;
    mirror::MirrorService mirrorService;
    LiveSettings live;
    limits::SharedAdmission admission;
    upstreams::FleetRetryBudget retries;
    upstreams::EndpointBook book;
    upstreams::FleetBalancer balancer;
    ServingState state;
    NoLookup noLookup;
    requestlog::RequestRecorder recorder;
    RequestObservers observers;
    entry::EntryServer server;
    http::QueryServer lookupServer;
    http::QueryServer readinessServer;
    http::QueryServer peerServer;
    boost::asio::signal_set signals;
    boost::asio::steady_timer maintenanceTimer;
    boost::asio::steady_timer stopTimer;
    std::mt19937_64 random;
    std::optional<std::uint64_t> readSettingsRevision; //!< of the item that was read last
    std::map<std::string, std::uint64_t> reportedRevisions; //!< of registrations, by key
    bool isUnsettledDataKept = false; //!< registrations are kept until the source has settled
};

Gateway::Impl::Impl(GatewayOptions given, const PublicationFactory &makePublication)
    : options(std::move(given)), peerName(this->options.address),
      incarnation(peer::makeIncarnation()),
      events(timeline::EventLogOptions { this->options.name, this->incarnation, {} }),
      publication(makePublication(this->context)),
      network(this->context.get_executor(),
              { this->peerName, this->incarnation, this->options.fleetSecret }, this->events),
      fleet({ this->context, this->clock, this->events, this->network },
            fleet::FleetTable(this->peerName, this->options.domain, {}, this->incarnation,
                              this->options.corePercent),
            toNames(this->options.seeds)),
      mirrorService(
          { this->context, this->clock, this->events, this->fleet, this->publication->source() },
          this->options.ports.peers, this->options.corePercent),
      admission(this->clock), retries(this->clock, this->options.retries),
      book(this->options.choice, this->options.domain, this->incarnation),
      balancer(
          { this->clock, this->events, this->fleet, this->book, this->admission, this->retries }),
      state(this->live, this->book), recorder(this->registry, this->events),
      observers(this->recorder, this->balancer),
      server(this->context,
             entry::EntryDependencies { this->clock, this->live, this->admission, this->balancer,
                                        this->events, this->noLookup, this->observers, &this->state,
                                        &this->retries },
             entryOptions(this->options, this->incarnation)),
      lookupServer(this->context,
                   [this](const http::Query &query) {
                       return this->publication->answerLookup(query, this->lookupEntries(),
                                                              this->options.lookupTimeToLive);
                   }),
      readinessServer(this->context,
                      [this](const http::Query &query) {
                          return this->publication->answerReadiness(query, this->state.isReady());
                      }),
      peerServer(this->context,
                 [this](const http::Query &query) { return this->answerPeer(query); }),
      signals(this->context, SIGTERM, SIGINT, SIGHUP), maintenanceTimer(this->context),
      stopTimer(this->context), random(this->incarnation)
{
    this->connectParts();
}

void Gateway::Impl::connectParts()
{
    this->fleet.setStateSource([this] { return this->describeSelf(); });
    this->fleet.setKnownListener(
        [this](const std::vector<core::HostName> &names) { this->followHosts(names); });
    this->fleet.addChangeListener([this] { this->onFleetChanged(); });
    this->mirrorService.setListener([this] { this->onDataChanged(); });
    this->live.addListener([this](const settings::SettingsPtr &settings) {
        this->admission.applySettings(*settings);
        std::map<core::ServiceName, upstreams::ServiceBounds> services;
        for (const auto &[name, service] : settings->services) {
            services.emplace(name, upstreams::ServiceBounds { service.coldRatePerSecond });
        }
        this->book.setServices(std::move(services));
    });
}

int Gateway::Impl::run()
{
    this->events.record({ "process-started",
                          { { "version", DAMASKGATE_VERSION },
                            { "domain", this->options.domain.text() },
                            { "address", this->options.address } } });
    if (const auto listening = this->listen(); !listening) {
        this->events.record({ "start-failed", { { "detail", listening.error().detail } } });
        return UnavailableExitCode;
    }
    this->awaitSignal();
    this->fleet.start();
    this->mirrorService.start();
    this->scheduleMaintenance();
    this->context.run();
    // Exchanges give their slots back when they end: they must end before the balancer does.
    this->server.stop();
    this->context.restart();
    this->context.poll();
    this->events.record({ "process-stopped", {} });
    return 0;
}

core::Result<void> Gateway::Impl::listen()
{
    const std::string &address = this->options.address;
    const Ports &ports = this->options.ports;
    const std::array results { this->network.start(address, ports.datagrams),
                               this->server.listen(address, ports.callers),
                               this->lookupServer.listen(address, ports.lookup),
                               this->readinessServer.listen(address, ports.readiness),
                               this->peerServer.listen(address, ports.peers) };
    const auto failed =
        std::ranges::find_if(results, [](const auto &result) { return !result.has_value(); });
    return failed == results.end() ? core::Result<void> {} : tl::unexpected(failed->error());
}

fleet::HostState Gateway::Impl::describeSelf() const
{
    fleet::HostState state;
    state.domain = this->options.domain;
    state.isLeaving = this->state.isLeaving();
    state.isServing = this->state.isReady();
    state.corePercent = this->options.corePercent;
    state.dataRevision = this->mirrorService.mirror().contentRevision();
    if (const auto seen = this->mirrorService.sourceSeenAt()) {
        state.sourceAge =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - *seen);
    }
    return state;
}

void Gateway::Impl::followHosts(const std::vector<core::HostName> &names)
{
    std::vector<peer::PeerAddress> addresses;
    std::ranges::transform(names, std::back_inserter(addresses), [this](const auto &name) {
        return peer::PeerAddress { name, name.text(), this->options.ports.datagrams };
    });
    this->network.setHosts(addresses);
}

void Gateway::Impl::onDataChanged()
{
    const bool wasReady = this->state.isReady();
    this->applySettings(this->mirrorService.mirror().items());
    this->applyEndpoints();
    if (this->state.isReady() != wasReady) {
        this->events.record({ "host-ready", { { "ready", this->state.isReady() } } });
        this->fleet.announce();
    }
}

void Gateway::Impl::applySettings(const Items &items)
{
    const auto revision = this->publication->settingsRevision(items);
    if (!revision || this->readSettingsRevision == revision) {
        return;
    }
    this->readSettingsRevision = revision;
    auto read = this->publication->readSettings(items);
    if (!read) {
        return;
    }
    if (!*read) {
        this->events.record({ "settings-refused", { { "detail", read->error().detail } } });
        return;
    }
    const std::uint64_t number = (*read)->revision.number;
    if (this->live.replace(std::move(**read))) {
        this->events.record({ "settings-in-force", { { "revision", number } } });
    }
}

void Gateway::Impl::applyEndpoints()
{
    const Items &items = this->mirrorService.mirror().items();
    const EndpointList list = this->publication->readEndpoints(items);
    this->reportUnreadable(list.unreadable);
    const bool isSettled = this->isSettled();
    this->book.setWithdrawnDomains(this->publication->readWithdrawnDomains(items));
    for (const upstreams::EndpointChange &change :
         this->book.setEndpoints(list.endpoints, isSettled, this->clock.now())) {
        this->events.record({ "endpoint-changed",
                              { { "change", upstreams::toText(change.kind) },
                                { "service", change.service.text() },
                                { "endpoint", change.name.text() },
                                { "revision", change.revision } } });
    }
    this->isUnsettledDataKept = !isSettled;
}

void Gateway::Impl::reportUnreadable(const std::vector<UnreadableItem> &items)
{
    for (const UnreadableItem &item : items) {
        std::uint64_t &reported = this->reportedRevisions[item.key];
        if (reported != item.revision) {
            reported = item.revision;
            this->events.record({ "registration-unreadable",
                                  { { "key", item.key },
                                    { "revision", item.revision },
                                    { "detail", item.detail } } });
        }
    }
}

void Gateway::Impl::onFleetChanged()
{
    const double share = this->fleet.table().heardShare(ShareWindow, this->clock.now());
    this->admission.setShare(share);
    this->retries.setShare(share);
    std::vector<core::HostName> serving;
    std::ranges::transform(this->servingMembers(), std::back_inserter(serving),
                           [](const fleet::Member *member) { return member->name; });
    this->book.setHosts(this->peerName, serving, this->clock.now());
}

std::vector<const fleet::Member *> Gateway::Impl::servingMembers() const
{
    auto members = this->fleet.table().liveMembers(this->clock.now());
    std::erase_if(members, [](const fleet::Member *member) {
        return !member->state.isServing || member->state.isLeaving;
    });
    return members;
}

bool Gateway::Impl::isSettled() const
{
    const auto since = this->mirrorService.settledSince();
    return since && this->clock.now() - *since >= SettleTime;
}

std::vector<entry::LookupEntry> Gateway::Impl::lookupEntries()
{
    std::vector<entry::LookupEntry> serving;
    if (this->state.isReady()) {
        serving.push_back({ this->options.name, this->options.address, this->options.ports.callers,
                            this->options.domain });
    }
    for (const fleet::Member *member : this->servingMembers()) {
        serving.push_back({ member->name, member->name.text(), this->options.ports.callers,
                            member->state.domain });
    }
    std::vector<entry::LookupEntry> picked;
    std::ranges::sample(serving, std::back_inserter(picked), MaxLookupHosts, this->random);
    return picked;
}

http::QueryResponse Gateway::Impl::answerPeer(const http::Query &query) const
{
    if (query.path == "/mirror") {
        const std::string_view text = http::parameterOf(query.parameters, "after");
        std::uint64_t after = 0;
        std::from_chars(text.data(), text.data() + text.size(), after);
        return { 200, "application/octet-stream", this->mirrorService.answerChanges(after) };
    }
    if (query.path == "/metrics") {
        return { 200, "text/plain; version=0.0.4", this->registry.exposition() };
    }
    return { 404, "text/plain", "try /metrics\n" };
}

void Gateway::Impl::scheduleMaintenance()
{
    this->maintenanceTimer.expires_after(MaintainInterval);
    this->maintenanceTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->onFleetChanged();
        if (this->isUnsettledDataKept && this->isSettled()) {
            this->applyEndpoints();
        }
        this->scheduleMaintenance();
    });
}

void Gateway::Impl::awaitSignal()
{
    this->signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (!error) {
            this->onSignal(number);
            this->awaitSignal();
        }
    });
}

void Gateway::Impl::onSignal(int number)
{
    this->events.record({ "signal-received", { { "number", number } } });
    if (number == SIGHUP || this->state.isLeaving()) {
        return;
    }
    this->leave();
}

void Gateway::Impl::leave()
{
    const core::Instant latest = this->clock.now() + this->options.stopGrace - FinishMargin;
    this->state.leave();
    this->server.leave();
    this->fleet.announce();
    this->stopTimer.expires_after(LeaveTime);
    this->stopTimer.async_wait([this, latest](const boost::system::error_code &error) {
        if (!error) {
            this->events.record(
                { "drain-started", { { "exchanges", this->server.exchangeCount() } } });
            this->server.drain([] {});
            this->finishWhenIdle(latest);
        }
    });
}

void Gateway::Impl::finishWhenIdle(core::Instant latest)
{
    if (this->server.exchangeCount() == 0 || this->clock.now() >= latest) {
        this->events.record({ "drain-ended", { { "exchanges", this->server.exchangeCount() } } });
        this->context.stop();
        return;
    }
    this->stopTimer.expires_after(FinishPoll);
    this->stopTimer.async_wait([this, latest](const boost::system::error_code &error) {
        if (!error) {
            this->finishWhenIdle(latest);
        }
    });
}

Gateway::Gateway(GatewayOptions options, const PublicationFactory &makePublication)
    : impl(std::make_unique<Impl>(std::move(options), makePublication))
{}

Gateway::~Gateway() = default;

int Gateway::run()
{
    return this->impl->run();
}

} // namespace damaskgate::gateway
