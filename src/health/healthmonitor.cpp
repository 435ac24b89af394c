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

constexpr std::size_t EndpointsPerReport = 16; //!< keeps the datagram below 1,200 bytes

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
    std::erase_if(this->owned, isRemoved);
    std::erase_if(this->reportSentAt, isRemoved);
    for (const auto &[name, service] : this->settings->services) {
        this->views[name].applyFloor(Floor(*this->settings, service));
        this->applyEjections(name);
    }
    for (const Owned &entry : this->owned | std::views::values) {
        entry.owner->applySettings(*this->settings);
    }
}

void HealthMonitor::tick()
{
    for (const core::ServiceName &service : this->views | std::views::keys) {
        this->applyEjections(service);
        if (ServiceOwner *current = this->owner(service)) {
            this->evaluate(service, *current);
        }
        this->executors.toData([this, service] {
            auto report = this->collector.takeReport(service, this->clock.now());
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
        if (part.endpoints.size() == EndpointsPerReport) {
            this->sendPart(part);
            part = { report.service, 0, {}, {} };
        }
    }
    this->sendPart(part);
}

void HealthMonitor::sendPart(const EvidenceReport &part)
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
    this->onNews(std::get<EjectionNews>(*message));
}

void HealthMonitor::onReport(const core::HostName &from, const EvidenceReport &report)
{
    if (ServiceOwner *current = this->owner(report.service)) {
        this->deliver(from, current->onReport(from, report, this->clock.now()));
    }
}

void HealthMonitor::onNews(const EjectionNews &news)
{
    const auto view = this->views.find(news.service);
    if (view == this->views.end()) {
        return;
    }
    view->second.onNews(news, this->clock.now());
    this->applyEjections(news.service);
    this->executors.toData([this, service = news.service, limit = news.slowLimit] {
        this->collector.setSlowLimit(service, limit);
    });
}

void HealthMonitor::deliver(const core::HostName &host, const EjectionNews &news)
{
    if (host == this->self) {
        this->onNews(news);
        return;
    }
    this->network.send(host, peer::MessageKind::Health, encode(news));
}

ServiceOwner *HealthMonitor::owner(const core::ServiceName &service)
{
    const auto ownership = this->owners.ownership(service, this->clock.now());
    if (!ownership || !this->settings || !this->settings->services.contains(service)) {
        this->owned.erase(service);
        return nullptr;
    }
    Owned &entry = this->owned[service];
    if (!entry.owner || entry.holding != ownership->leaseId) {
        entry.holding = ownership->leaseId;
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
    for (const auto &[host, news] : owner.makeNews(this->clock.now())) {
        this->deliver(host, news);
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
