#include "damaskgate/health/healthmonitor.h"

#include <algorithm>
#include <ranges>
#include <set>
#include <utility>
#include <variant>

#include "damaskgate/health/floor.h"

#include "healthcodec.h"

namespace damaskgate::health {

namespace {

constexpr std::size_t MaxEndpointsPerReport = 16; //!< so that a datagram stays below 1,200 bytes

} // namespace

HealthMonitor::HealthMonitor(core::HostName self, std::uint64_t seed, const core::IClock &clock,
                             peer::IPeerNetwork &network, const balance::IServiceOwners &owners,
                             core::IEventSink &events, balance::Balancer &balancer,
                             EvidenceCollector &collector, balance::Executors executors)
    : self(std::move(self)), sequence(seed / 2), clock(clock), network(network), owners(owners),
      events(events), balancer(balancer), collector(collector), executors(std::move(executors))
{
    this->network.setHandler(peer::MessageKind::Health, [this](const peer::Datagram &datagram) {
        this->onDatagram(datagram);
    });
}

void HealthMonitor::setReadmissionListener(ReadmissionListener listener)
{
    this->readmissionListener = std::move(listener);
}

void HealthMonitor::applySettings(const settings::SettingsPtr &newSettings)
{
    this->settings = newSettings;
    const auto isRemoved = [this](const auto &entry) {
        return !this->settings->services.contains(entry.first);
    };
    std::erase_if(this->views, isRemoved);
    std::erase_if(this->ownedServices, isRemoved);
    std::erase_if(this->reportSentAt, isRemoved);
    for (const auto &[name, service] : this->settings->services) {
        this->views[name].applyFloor(Floor(*this->settings, service));
        this->applyEjections(name);
    }
    for (const OwnedService &entry : this->ownedServices | std::views::values) {
        entry.owner->applySettings(*this->settings);
    }
}

void HealthMonitor::tick()
{
    for (const core::ServiceName &service : this->views | std::views::keys) {
        this->applyEjections(service);
        if (ServiceOwner *owner = this->currentOwner(service)) {
            this->evaluate(service, *owner);
        }
        this->executors.toData([this, service] {
            auto report = this->collector.collectReport(service, this->clock.now());
            this->executors.toControl(
                [this, report = std::move(report)] { this->sendReport(report); });
        });
    }
}

void HealthMonitor::sendReport(EvidenceReport report)
{
    const core::Instant now = this->clock.now();
    core::Instant &lastSent = this->reportSentAt[report.service];
    if (report.endpoints.empty() && now < lastSent + IdleReportInterval) {
        return;
    }
    lastSent = now;
    EvidenceReport part { report.service, 0, {}, std::move(report.latencies) };
    for (EndpointEvidence &evidence : report.endpoints) {
        part.endpoints.push_back(std::move(evidence));
        if (part.endpoints.size() == MaxEndpointsPerReport) {
            this->sendToTargets(part);
            part = { report.service, 0, {}, {} };
        }
    }
    this->sendToTargets(part);
}

void HealthMonitor::sendToTargets(const EvidenceReport &part)
{
    const auto view = this->views.find(part.service);
    if (view == this->views.end()) {
        return;
    }
    EvidenceReport report = part;
    report.sequence = ++this->sequence;
    view->second.onReportSent(report.sequence, this->clock.now());
    for (const core::HostName &target : this->owners.reportTargets(part.service)) {
        if (target == this->self) {
            this->onReport(this->self, report);
        } else {
            this->network.send(target, peer::MessageKind::Health, encode(report));
        }
    }
}

void HealthMonitor::onDatagram(const peer::Datagram &datagram)
{
    const core::Result<HealthMessage> message = decode(datagram.payload);
    if (!message) {
        this->events.record({ "health-message-malformed", { { "from", datagram.from.text() } } });
        return;
    }
    if (const auto *report = std::get_if<EvidenceReport>(&*message)) {
        this->onReport(datagram.from, *report);
        return;
    }
    this->onUpdate(std::get<EjectionUpdate>(*message));
}

void HealthMonitor::onReport(const core::HostName &from, const EvidenceReport &report)
{
    if (ServiceOwner *owner = this->currentOwner(report.service)) {
        this->deliver(from, owner->onReport(from, report, this->clock.now()));
    }
}

void HealthMonitor::onUpdate(const EjectionUpdate &update)
{
    const auto view = this->views.find(update.service);
    if (view == this->views.end()) {
        return;
    }
    view->second.onUpdate(update, this->clock.now());
    this->applyEjections(update.service);
    this->executors.toData([this, service = update.service, limit = update.slowLimit] {
        this->collector.setSlowLimit(service, limit);
    });
}

void HealthMonitor::deliver(const core::HostName &host, const EjectionUpdate &update)
{
    if (host == this->self) {
        this->onUpdate(update);
        return;
    }
    this->network.send(host, peer::MessageKind::Health, encode(update));
}

ServiceOwner *HealthMonitor::currentOwner(const core::ServiceName &service)
{
    const auto ownership = this->owners.ownership(service, this->clock.now());
    if (!ownership || !this->settings || !this->settings->services.contains(service)) {
        this->ownedServices.erase(service);
        return nullptr;
    }
    OwnedService &entry = this->ownedServices[service];
    if (!entry.owner || entry.leaseId != ownership->leaseId) {
        entry.leaseId = ownership->leaseId;
        entry.owner = std::make_unique<ServiceOwner>(service, ownership->leaseId, ownership->since);
        entry.owner->applySettings(*this->settings);
        this->events.record({ "health-owner", { { "service", service.text() } } });
    }
    return entry.owner.get();
}

void HealthMonitor::evaluate(const core::ServiceName &service, ServiceOwner &owner)
{
    const auto changes = owner.evaluate(this->clock.now());
    for (const ServiceOwner::Change &change : changes) {
        this->events.record(
            { change.isEjected ? "endpoint-ejected" : "endpoint-readmitted",
              { { "service", service.text() }, { "endpoint", change.endpoint.text() } } });
        if (!change.isEjected && this->readmissionListener) {
            this->readmissionListener(service, change.endpoint);
        }
    }
    if (changes.empty()) {
        return;
    }
    for (const auto &[host, update] : owner.makeUpdates(this->clock.now())) {
        this->deliver(host, update);
    }
}

void HealthMonitor::applyEjections(const core::ServiceName &service)
{
    auto ejected = this->views.at(service).ejected(this->clock.now());
    this->executors.toData([this, service, ejected = std::move(ejected)] {
        this->balancer.setEjected(service, ejected);
    });
}

} // namespace damaskgate::health
