#include "damaskgate/health/serviceowner.h"

#include <algorithm>
#include <utility>

#include "damaskgate/health/floor.h"

namespace damaskgate::health {

namespace {

constexpr std::chrono::seconds FirstProbation { 5 };
constexpr std::chrono::seconds LongestProbation { 60 };
constexpr std::chrono::minutes HistoryTime { 5 }; //!< without an ejection, until all is forgotten

} // namespace

ServiceOwner::ServiceOwner(const core::ServiceName &service, std::uint64_t holding,
                           core::Instant ownedSince, FaultThresholds thresholds)
    : service(service), holding(holding), planner(ownedSince), judge(thresholds)
{}

void ServiceOwner::applySettings(const settings::Settings &settings)
{
    this->domains.clear();
    for (const auto &[name, host] : settings.hosts) {
        this->domains[name] = host.domain;
    }
    const auto found = settings.services.find(this->service);
    const bool isKnown = found != settings.services.end();
    this->judge.setSlots(isKnown ? found->second.slots : 1);
    this->planner.applyFloor(isKnown ? Floor(settings, found->second) : Floor {});
}

EjectionUpdate ServiceOwner::onReport(const core::HostName &host, const EvidenceReport &report,
                                      core::Instant now)
{
    const auto domain = this->domains.find(host);
    if (domain != this->domains.end()) {
        this->judge.onReport(host, domain->second, report);
    }
    this->latestReports[host] = report.sequence;
    return this->answer(report.sequence, now);
}

std::map<core::HostName, EjectionUpdate> ServiceOwner::makeUpdates(core::Instant now)
{
    std::map<core::HostName, EjectionUpdate> news;
    for (const auto &[host, sequence] : this->latestReports) {
        news.emplace(host, this->answer(sequence, now));
    }
    return news;
}

EjectionUpdate ServiceOwner::answer(std::uint64_t sequence, core::Instant now)
{
    const auto ejected = this->planner.publish(now);
    return { this->service,
             this->holding,
             sequence,
             ++this->revision,
             { ejected.begin(), ejected.end() },
             this->judge.slowLimit() };
}

std::vector<ServiceOwner::Change> ServiceOwner::evaluate(core::Instant now)
{
    this->judge.evaluate();
    this->readmit(now);
    this->eject(now);
    std::erase_if(this->histories, [&](const auto &entry) {
        return !this->planner.isEjected(entry.first) && entry.second.ejectedAt + HistoryTime <= now;
    });
    return this->takeChanges();
}

core::Duration ServiceOwner::slowLimit() const
{
    return this->judge.slowLimit();
}

void ServiceOwner::readmit(core::Instant now)
{
    for (const auto &[endpoint, history] : this->histories) {
        const bool isOver = history.ejectedAt + this->probation(history) <= now;
        if (isOver && this->planner.isEjected(endpoint)) {
            this->planner.readmit(endpoint);
            this->judge.onReadmitted(endpoint);
        }
    }
}

void ServiceOwner::eject(core::Instant now)
{
    for (const core::EndpointName &endpoint : this->judge.faulty()) {
        if (this->planner.isEjected(endpoint) || !this->planner.tryEject(endpoint, now)) {
            continue;
        }
        History &history = this->histories[endpoint];
        history.ejectedAt = now;
        ++history.ejections;
    }
}

core::Duration ServiceOwner::probation(const History &history) const
{
    constexpr std::uint32_t MostDoublings = 4;
    const std::uint32_t doublings = std::min(history.ejections - 1, MostDoublings);
    return std::min<core::Duration>(FirstProbation * (1U << doublings), LongestProbation);
}

std::vector<ServiceOwner::Change> ServiceOwner::takeChanges()
{
    std::vector<Change> changes;
    std::erase_if(this->announced, [&](const core::EndpointName &endpoint) {
        const bool isReadmitted = !this->planner.isEjected(endpoint);
        if (isReadmitted) {
            changes.push_back({ endpoint, false });
        }
        return isReadmitted;
    });
    for (const auto &[endpoint, history] : this->histories) {
        if (this->planner.isEjected(endpoint) && this->announced.insert(endpoint).second) {
            changes.push_back({ endpoint, true });
        }
    }
    return changes;
}

} // namespace damaskgate::health
