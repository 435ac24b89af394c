#include "damaskgate/health/serviceowner.h"

#include <algorithm>
#include <utility>

#include "damaskgate/health/floor.h"

namespace damaskgate::health {

namespace {

constexpr std::chrono::seconds BaseEjectionTime { 5 };
constexpr std::chrono::seconds MaxEjectionTime { 60 };
/** Time from an endpoint's last ejection until its number of ejections is discarded. */
constexpr std::chrono::minutes HistoryRetention { 5 };

} // namespace

ServiceOwner::ServiceOwner(const core::ServiceName &service, std::uint64_t leaseId,
                           core::Instant ownedSince, FaultThresholds thresholds)
    : service(service), leaseId(leaseId), planner(ownedSince), faultDetector(thresholds)
{}

void ServiceOwner::applySettings(const settings::Settings &settings)
{
    this->domains.clear();
    for (const auto &[name, host] : settings.hosts) {
        this->domains[name] = host.domain;
    }
    const auto found = settings.services.find(this->service);
    const bool isKnown = found != settings.services.end();
    this->faultDetector.setSlots(isKnown ? found->second.slots : 1);
    this->planner.applyFloor(isKnown ? Floor(settings, found->second) : Floor {});
}

EjectionUpdate ServiceOwner::onReport(const core::HostName &host, const EvidenceReport &report,
                                      core::Instant now)
{
    const auto domain = this->domains.find(host);
    if (domain != this->domains.end()) {
        this->faultDetector.onReport(host, domain->second, report);
    }
    this->latestSequences[host] = report.sequence;
    return this->makeUpdate(report.sequence, now);
}

std::map<core::HostName, EjectionUpdate> ServiceOwner::makeUpdates(core::Instant now)
{
    std::map<core::HostName, EjectionUpdate> updates;
    for (const auto &[host, sequence] : this->latestSequences) {
        updates.emplace(host, this->makeUpdate(sequence, now));
    }
    return updates;
}

EjectionUpdate ServiceOwner::makeUpdate(std::uint64_t sequence, core::Instant now)
{
    const auto ejected = this->planner.publish(now);
    return { this->service,
             this->leaseId,
             sequence,
             ++this->revision,
             { ejected.begin(), ejected.end() },
             this->faultDetector.slowLimit() };
}

std::vector<ServiceOwner::Change> ServiceOwner::evaluate(core::Instant now)
{
    this->faultDetector.evaluate();
    this->readmit(now);
    this->eject(now);
    std::erase_if(this->histories, [&](const auto &entry) {
        return !this->planner.isEjected(entry.first)
            && entry.second.ejectedAt + HistoryRetention <= now;
    });
    return this->collectChanges();
}

core::Duration ServiceOwner::slowLimit() const
{
    return this->faultDetector.slowLimit();
}

void ServiceOwner::readmit(core::Instant now)
{
    for (const auto &[endpoint, history] : this->histories) {
        const bool isOver = history.ejectedAt + this->ejectionTime(history) <= now;
        if (isOver && this->planner.isEjected(endpoint)) {
            this->planner.readmit(endpoint);
            this->faultDetector.onReadmitted(endpoint);
        }
    }
}

void ServiceOwner::eject(core::Instant now)
{
    for (const core::EndpointName &endpoint : this->faultDetector.faulty()) {
        if (this->planner.isEjected(endpoint) || !this->planner.tryEject(endpoint, now)) {
            continue;
        }
        History &history = this->histories[endpoint];
        history.ejectedAt = now;
        ++history.ejections;
    }
}

core::Duration ServiceOwner::ejectionTime(const History &history) const
{
    constexpr std::uint32_t MaxDoublings = 4;
    const std::uint32_t doublings = std::min(history.ejections - 1, MaxDoublings);
    return std::min<core::Duration>(BaseEjectionTime * (1U << doublings), MaxEjectionTime);
}

std::vector<ServiceOwner::Change> ServiceOwner::collectChanges()
{
    std::vector<Change> changes;
    std::erase_if(this->reportedEjected, [&](const core::EndpointName &endpoint) {
        const bool isReadmitted = !this->planner.isEjected(endpoint);
        if (isReadmitted) {
            changes.push_back({ endpoint, false });
        }
        return isReadmitted;
    });
    for (const auto &[endpoint, history] : this->histories) {
        if (this->planner.isEjected(endpoint) && this->reportedEjected.insert(endpoint).second) {
            changes.push_back({ endpoint, true });
        }
    }
    return changes;
}

} // namespace damaskgate::health
