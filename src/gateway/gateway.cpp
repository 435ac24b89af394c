#include "damaskgate/gateway/gateway.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>
#include <random>
#include <set>
#include <span>
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
#include "optionschange.h"
#include "servingstate.h"

namespace damaskgate::gateway {

namespace {

// Endpoints are in the same region as this host.
constexpr std::chrono::milliseconds ConnectTimeout { 400 };
// Above the limit that operators configure today (16 KB).
constexpr std::size_t MaxHeaderBytes = 65536;
constexpr std::chrono::milliseconds MaintenanceInterval { 500 };
// The settings file may change without a signal.
constexpr std::chrono::milliseconds OptionsPollInterval { 1000 };
// Registrations return within 2 s after the source has become reachable again.
constexpr std::chrono::milliseconds SourceStableTime { 2200 };
// The source removes a registration that is not renewed for this many intervals between status
// reports; hosts learn of it within the margin.
constexpr int LapseIntervals = 3;
constexpr std::chrono::milliseconds LapseMargin { 500 };
// A silent host still counts towards the size of the fleet for this long.
constexpr std::chrono::seconds ReachabilityWindow { 10 };
// Gives callers time to switch to other hosts before this host stops accepting connections.
constexpr std::chrono::milliseconds CallerMigrationTime { 3000 };
// The process ends this long before the platform would kill it.
constexpr std::chrono::milliseconds ShutdownMargin { 300 };
constexpr std::chrono::milliseconds IdlePollInterval { 50 };
constexpr std::size_t MaxLookupHosts = 64;
constexpr int ListenFailedExitCode = 3;

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

upstreams::SelectionPolicy selectionPolicy(const GatewayOptions &options)
{
    upstreams::SelectionPolicy policy = options.selectionPolicy;
    policy.registrationLapseTime = options.registrationInterval * LapseIntervals + LapseMargin;
    return policy;
}

std::vector<core::HostName> toNames(const std::vector<std::string> &addresses)
{
    std::vector<core::HostName> names;
    std::ranges::transform(addresses, std::back_inserter(names),
                           [](const std::string &address) { return core::HostName(address); });
    return names;
}

/** Passes each finished request to the request recorder and reports refusals to the balancer. */
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
            this->balancer.onRefused(record.service, *record.reason);
        }
    }

private:
    requestlog::RequestRecorder &recorder;
    upstreams::FleetBalancer &balancer;
};

/** Returns no hosts: callers use the look-up port instead of a look-up through HTTP fields. */
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
    Impl(GatewayOptions given, const PlatformAdapterFactory &makePlatformAdapter,
         OptionsSource optionsSource);

    int run();

private:
    core::Result<void> listen();
    void connectComponents();
    fleet::HostState currentHostState() const;
    void updatePeerAddresses(const std::vector<core::HostName> &names);
    void onMirrorChanged();
    void applySettings(const Items &items);
    void applyEndpoints();
    void logChanges(std::span<const upstreams::EndpointChange> changes);
    void logUnreadableItems(const std::vector<UnreadableItem> &items);
    void onFleetChanged();
    std::vector<const fleet::Member *> servingMembers() const; //!< other hosts that accept callers
    bool isSourceStable() const;
    bool isSourceJustReset() const;
    void applyWithdrawnDomains(std::set<core::DomainName> domains);
    std::vector<entry::LookupEntry> lookupEntries();
    http::QueryResponse handlePeerQuery(const http::Query &query);
    void scheduleQueueTick();
    void scheduleMaintenance();
    void awaitSignal();
    void onSignal(int number);
    void reloadOptions();
    void applyOptions(const GatewayOptions &next);
    void startLeaving();
    void stopWhenIdle(core::Instant latest);

    GatewayOptions options;
    OptionsSource optionsSource;
    core::HostName peerName; //!< IP address; hosts use it as the name of a host among themselves
    std::uint64_t incarnation;
    core::SystemClock clock;
    boost::asio::io_context context { 1 };
    timeline::EventLog events;
    metrics::Registry registry;
    std::unique_ptr<IPlatformAdapter> platformAdapter;
    peer::UdpPeerNetwork network;
    fleet::FleetService fleet;
    mirror::MirrorService mirrorService;
    LiveSettings liveSettings;
    limits::SharedAdmission admission;
    upstreams::FleetRetryBudget retries;
    upstreams::EndpointSelector selector;
    upstreams::FleetBalancer balancer;
    ServingState servingState;
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
    boost::asio::steady_timer queueTimer; //!< runs while requests wait
    std::mt19937_64 random;
    std::optional<std::uint64_t> lastReadSettingsRevision; //!< revision of the item
    /** Revision that was last logged of each unreadable registration, by key. */
    std::map<std::string, std::uint64_t> reportedRevisions;
    bool areMissingEndpointsKept = false; //!< until the source is stable
    core::Instant optionsReadAt;
    std::optional<core::Instant> sourceResetAt;
    std::set<core::DomainName> withdrawnDomains;
};

Gateway::Impl::Impl(GatewayOptions given, const PlatformAdapterFactory &makePlatformAdapter,
                    OptionsSource optionsSource)
    : options(std::move(given)), optionsSource(std::move(optionsSource)),
      peerName(this->options.address), incarnation(peer::makeIncarnation()),
      events(timeline::EventLogOptions { this->options.name, this->incarnation, {} }),
      platformAdapter(makePlatformAdapter(this->context)),
      network(this->context.get_executor(),
              { this->peerName, this->incarnation, this->options.fleetSecret }, this->events),
      fleet({ this->context, this->clock, this->events, this->network },
            fleet::FleetTable(this->peerName, this->options.domain, {}, this->incarnation,
                              this->options.corePercent),
            toNames(this->options.seeds)),
      mirrorService({ this->context, this->clock, this->events, this->fleet,
                      this->platformAdapter->source() },
                    this->options.ports.peers, this->options.corePercent,
                    this->options.registrationInterval),
      admission(this->clock), retries(this->clock, this->options.retries),
      selector(selectionPolicy(this->options), this->options.domain, this->incarnation),
      balancer({ this->clock, this->events, this->fleet, this->selector, this->admission,
                 this->retries },
               this->incarnation),
      servingState(this->liveSettings, this->selector), recorder(this->registry, this->events),
      observers(this->recorder, this->balancer),
      server(this->context,
             entry::EntryDependencies { this->clock, this->liveSettings, this->admission,
                                        this->balancer, this->events, this->noLookup,
                                        this->observers, &this->servingState, &this->retries },
             entryOptions(this->options, this->incarnation)),
      lookupServer(this->context,
                   [this](const http::Query &query) {
                       return this->platformAdapter->makeLookupResponse(
                           query, this->lookupEntries(), this->options.lookupTimeToLive);
                   }),
      readinessServer(this->context,
                      [this](const http::Query &query) {
                          return this->platformAdapter->makeReadinessResponse(
                              query, this->servingState.isReady());
                      }),
      peerServer(this->context,
                 [this](const http::Query &query) { return this->handlePeerQuery(query); }),
      signals(this->context, SIGTERM, SIGINT, SIGHUP), maintenanceTimer(this->context),
      stopTimer(this->context), queueTimer(this->context), random(this->incarnation)
{
    this->connectComponents();
}

void Gateway::Impl::connectComponents()
{
    this->fleet.setStateSource([this] { return this->currentHostState(); });
    this->fleet.setHostListListener(
        [this](const std::vector<core::HostName> &names) { this->updatePeerAddresses(names); });
    this->fleet.addChangeListener([this] { this->onFleetChanged(); });
    this->mirrorService.setListener([this] { this->onMirrorChanged(); });
    this->liveSettings.addListener([this](const settings::SettingsPtr &settings) {
        this->admission.applySettings(*settings);
        std::map<core::ServiceName, upstreams::ServiceLimits> services;
        for (const auto &[name, service] : settings->services) {
            services.emplace(name, upstreams::ServiceLimits { service.coldRatePerSecond });
        }
        this->selector.setServices(std::move(services));
        // Slots that are kept free help urgent requests only if hosts do not overrun each other.
        if (this->options.selectionPolicy.isLoadSpread) {
            this->balancer.applySettings(*settings);
        }
    });
    this->balancer.setWaitListener([this] { this->scheduleQueueTick(); });
}

void Gateway::Impl::scheduleQueueTick()
{
    this->queueTimer.expires_after(upstreams::FleetBalancer::TickInterval);
    this->queueTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error && this->balancer.tick()) {
            this->scheduleQueueTick();
        }
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
        return ListenFailedExitCode;
    }
    this->awaitSignal();
    this->fleet.start();
    this->mirrorService.start();
    this->scheduleMaintenance();
    this->context.run();
    // Exchanges release their slots in the balancer, so they must end before it is destroyed.
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

fleet::HostState Gateway::Impl::currentHostState() const
{
    fleet::HostState state;
    state.domain = this->options.domain;
    state.isLeaving = this->servingState.isLeaving();
    state.isServing = this->servingState.isReady();
    state.corePercent = this->options.corePercent;
    state.dataRevision = this->mirrorService.mirror().contentRevision();
    if (const auto seen = this->mirrorService.sourceReachedAt()) {
        state.sourceAge =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - *seen);
    }
    return state;
}

void Gateway::Impl::updatePeerAddresses(const std::vector<core::HostName> &names)
{
    std::vector<peer::PeerAddress> addresses;
    std::ranges::transform(names, std::back_inserter(addresses), [this](const auto &name) {
        return peer::PeerAddress { name, name.text(), this->options.ports.datagrams };
    });
    this->network.setHosts(addresses);
}

void Gateway::Impl::onMirrorChanged()
{
    const bool wasReady = this->servingState.isReady();
    this->applySettings(this->mirrorService.mirror().items());
    this->applyEndpoints();
    if (this->servingState.isReady() != wasReady) {
        this->events.record({ "host-ready", { { "ready", this->servingState.isReady() } } });
        this->fleet.announce();
    }
}

void Gateway::Impl::applySettings(const Items &items)
{
    const auto revision = this->platformAdapter->settingsRevision(items);
    if (!revision || this->lastReadSettingsRevision == revision) {
        return;
    }
    this->lastReadSettingsRevision = revision;
    const core::Instant readFrom = this->clock.now();
    auto read = this->platformAdapter->readSettings(items);
    if (!read) {
        return;
    }
    if (!*read) {
        this->events.record({ "settings-refused", { { "detail", read->error().detail } } });
        return;
    }
    const std::uint64_t number = (*read)->revision.number;
    if (this->liveSettings.replace(std::move(**read))) {
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(this->clock.now() - readFrom);
        this->events.record({ "settings-in-force",
                              { { "revision", number },
                                { "item_revision", *revision },
                                { "routes", this->liveSettings.current()->routes.size() },
                                { "read_ms", elapsed.count() } } });
    }
}

void Gateway::Impl::applyEndpoints()
{
    const Items &items = this->mirrorService.mirror().items();
    const EndpointList list = this->platformAdapter->readEndpoints(items);
    this->logUnreadableItems(list.unreadable);
    if (list.isSourceReset) {
        this->sourceResetAt = this->clock.now();
        this->events.record(
            { "source-reset", { { "revision", this->mirrorService.mirror().revision() } } });
    }
    const bool isStable = this->isSourceStable();
    this->applyWithdrawnDomains(this->platformAdapter->readWithdrawnDomains(items));
    this->logChanges(this->selector.setEndpoints(list.endpoints, isStable, this->clock.now()));
    this->areMissingEndpointsKept = !isStable;
}

// After a reset of the source a withdrawal may be missing until it is published again.
void Gateway::Impl::applyWithdrawnDomains(std::set<core::DomainName> domains)
{
    if (this->isSourceJustReset()) {
        domains.insert(this->withdrawnDomains.begin(), this->withdrawnDomains.end());
    }
    this->withdrawnDomains = std::move(domains);
    this->selector.setWithdrawnDomains(this->withdrawnDomains);
}

void Gateway::Impl::logChanges(std::span<const upstreams::EndpointChange> changes)
{
    for (const upstreams::EndpointChange &change : changes) {
        this->events.record({ "endpoint-changed",
                              { { "change", upstreams::toText(change.kind) },
                                { "service", change.service.text() },
                                { "endpoint", change.name.text() },
                                { "revision", change.revision } } });
    }
}

void Gateway::Impl::logUnreadableItems(const std::vector<UnreadableItem> &items)
{
    std::erase_if(this->reportedRevisions, [&items](const auto &reported) {
        return std::ranges::find(items, reported.first, &UnreadableItem::key) == items.end();
    });
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
    const double fraction =
        this->fleet.table().reachableFraction(ReachabilityWindow, this->clock.now());
    this->admission.setReachableFraction(fraction);
    this->retries.setReachableFraction(fraction);
    std::vector<core::HostName> serving;
    std::ranges::transform(this->servingMembers(), std::back_inserter(serving),
                           [](const fleet::Member *member) { return member->name; });
    this->selector.setHosts(this->peerName, serving, this->clock.now());
}

std::vector<const fleet::Member *> Gateway::Impl::servingMembers() const
{
    auto members = this->fleet.table().liveMembers(this->clock.now());
    std::erase_if(members, [](const fleet::Member *member) {
        return !member->state.isServing || member->state.isLeaving;
    });
    return members;
}

bool Gateway::Impl::isSourceStable() const
{
    const auto since = this->mirrorService.sourceReachableSince();
    return since && this->clock.now() - *since >= SourceStableTime && !this->isSourceJustReset();
}

bool Gateway::Impl::isSourceJustReset() const
{
    return this->sourceResetAt && this->clock.now() - *this->sourceResetAt < SourceStableTime;
}

std::vector<entry::LookupEntry> Gateway::Impl::lookupEntries()
{
    std::vector<entry::LookupEntry> serving;
    if (this->servingState.isReady()) {
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

http::QueryResponse Gateway::Impl::handlePeerQuery(const http::Query &query)
{
    if (query.path == "/mirror") {
        return { 200, "application/octet-stream",
                 this->mirrorService.makePullResponse(query.parameters) };
    }
    if (query.path == "/metrics") {
        return { 200, "text/plain; version=0.0.4", this->registry.exposition() };
    }
    return { 404, "text/plain", "try /metrics\n" };
}

void Gateway::Impl::scheduleMaintenance()
{
    this->maintenanceTimer.expires_after(MaintenanceInterval);
    this->maintenanceTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->onFleetChanged();
        if (this->areMissingEndpointsKept && this->isSourceStable()) {
            this->applyEndpoints();
        }
        this->logChanges(this->selector.confirmReturns(this->clock.now()));
        if (this->clock.now() - this->optionsReadAt >= OptionsPollInterval) {
            this->optionsReadAt = this->clock.now();
            this->reloadOptions();
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
    if (number == SIGHUP) {
        this->reloadOptions();
    } else if (!this->servingState.isLeaving()) {
        this->startLeaving();
    }
}

void Gateway::Impl::reloadOptions()
{
    const auto next = this->optionsSource ? this->optionsSource() : std::nullopt;
    if (!next) {
        return;
    }
    if (!*next) {
        this->events.record({ "options-refused", { { "detail", next->error().detail } } });
        return;
    }
    this->applyOptions(**next);
}

void Gateway::Impl::applyOptions(const GatewayOptions &next)
{
    OptionsChange change = compareOptions(this->options, next);
    for (const std::string_view field : change.refused) {
        this->events.record(
            { "option-refused", { { "field", field }, { "detail", "needs a restart" } } });
    }
    const bool isSourceMoved = change.options.sourceAddress != this->options.sourceAddress;
    this->options = std::move(change.options);
    if (isSourceMoved) {
        this->platformAdapter->setSourceAddress(this->options.sourceAddress);
    }
    this->fleet.setSeeds(toNames(this->options.seeds));
    this->retries.setLimits(this->options.retries);
    this->selector.setRegistrationLapseTime(selectionPolicy(this->options).registrationLapseTime);
    this->mirrorService.setMaxSourceGap(this->options.registrationInterval);
    this->server.setMaxConnections(this->options.maxConnections);
    for (const std::string_view field : change.applied) {
        this->events.record({ "option-changed", { { "field", field } } });
    }
}

void Gateway::Impl::startLeaving()
{
    const core::Instant now = this->clock.now();
    const core::Instant latest = now + this->options.stopGrace - ShutdownMargin;
    this->servingState.startLeaving();
    this->server.disableKeepAlive();
    this->server.scheduleDrain(now + CallerMigrationTime);
    this->fleet.announce();
    this->stopTimer.expires_after(CallerMigrationTime);
    this->stopTimer.async_wait([this, latest](const boost::system::error_code &error) {
        if (!error) {
            this->events.record(
                { "drain-started", { { "exchanges", this->server.exchangeCount() } } });
            this->server.drain([] {});
            this->stopWhenIdle(latest);
        }
    });
}

void Gateway::Impl::stopWhenIdle(core::Instant latest)
{
    if (this->server.isIdle() || this->clock.now() >= latest) {
        this->events.record({ "drain-ended", { { "exchanges", this->server.exchangeCount() } } });
        this->context.stop();
        return;
    }
    this->stopTimer.expires_after(IdlePollInterval);
    this->stopTimer.async_wait([this, latest](const boost::system::error_code &error) {
        if (!error) {
            this->stopWhenIdle(latest);
        }
    });
}

Gateway::Gateway(GatewayOptions options, const PlatformAdapterFactory &makePlatformAdapter,
                 OptionsSource optionsSource)
    : impl(
        std::make_unique<Impl>(std::move(options), makePlatformAdapter, std::move(optionsSource)))
{}

Gateway::~Gateway() = default;

int Gateway::run()
{
    return this->impl->run();
}

} // namespace damaskgate::gateway
