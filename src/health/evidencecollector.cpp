#include "damaskgate/health/evidencecollector.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "damaskgate/health/latencyscale.h"

namespace damaskgate::health {

void EvidenceCollector::onStarted(const balance::SlotGrant &grant, bool isWarm, core::Instant now)
{
    this->exchanges[grant.id] = { grant.service, grant.endpoint.name, now, now, isWarm, false };
}

void EvidenceCollector::onEnded(std::uint64_t grantId, const balance::ExchangeReport &report,
                                core::Instant now)
{
    const auto found = this->exchanges.find(grantId);
    if (found == this->exchanges.end()) {
        return;
    }
    const Exchange exchange = std::move(found->second);
    this->exchanges.erase(found);
    Counts &counts = this->services[exchange.service];
    EndpointEvidence &evidence = counts.endpoints[exchange.endpoint];
    this->countOutcome(evidence, report.outcome);
    evidence.busyTime += now - exchange.countedUntil;
    evidence.ended += report.outcome == balance::Outcome::Shed ? 0 : 1;
    if (exchange.isWarm && !exchange.isCountedSlow) {
        this->countLatency(counts, evidence, report);
    }
}

void EvidenceCollector::countOutcome(EndpointEvidence &evidence, balance::Outcome outcome) const
{
    switch (outcome) {
    case balance::Outcome::Answered:
        ++evidence.succeeded;
        return;
    case balance::Outcome::ServerError:
    case balance::Outcome::ConnectFailed:
    case balance::Outcome::Timeout:
    case balance::Outcome::BrokenOff:
        ++evidence.failed;
        return;
    case balance::Outcome::Misdirected:
    case balance::Outcome::Shed:
    case balance::Outcome::Cancelled:
        return;
    }
}

void EvidenceCollector::countLatency(Counts &counts, EndpointEvidence &evidence,
                                     const balance::ExchangeReport &report) const
{
    if (report.outcome == balance::Outcome::Shed) {
        ++evidence.slow;
        return;
    }
    const bool hasResponse = report.outcome == balance::Outcome::Answered
        || report.outcome == balance::Outcome::ServerError;
    if (!hasResponse) {
        return;
    }
    ++(report.latency > counts.slowLimit ? evidence.slow : evidence.fast);
    ++counts.latencies[latencyBucket(report.latency)];
}

void EvidenceCollector::setSlowLimit(const core::ServiceName &service, core::Duration limit)
{
    this->services[service].slowLimit = limit;
}

void EvidenceCollector::countInFlight(const core::ServiceName &service, core::Instant now)
{
    Counts &counts = this->services[service];
    for (Exchange &exchange : this->exchanges | std::views::values) {
        if (exchange.service != service) {
            continue;
        }
        EndpointEvidence &evidence = counts.endpoints[exchange.endpoint];
        evidence.busyTime += now - exchange.countedUntil;
        exchange.countedUntil = now;
        const bool isOverdue = exchange.start + counts.slowLimit < now;
        if (!isOverdue || exchange.isCountedSlow || !exchange.isWarm) {
            continue;
        }
        exchange.isCountedSlow = true;
        ++evidence.slow;
        ++counts.latencies[latencyBucket(now - exchange.start)];
    }
}

EvidenceReport EvidenceCollector::collectReport(const core::ServiceName &service, core::Instant now)
{
    this->countInFlight(service, now);
    Counts &counts = this->services[service];
    EvidenceReport report { service, 0, {}, {} };
    for (auto &[name, evidence] : counts.endpoints) {
        evidence.endpoint = name;
        report.endpoints.push_back(evidence);
    }
    std::ranges::transform(counts.latencies, std::back_inserter(report.latencies),
                           [](const auto &entry) {
                               return LatencyCount { entry.first, entry.second };
                           });
    counts.endpoints.clear();
    counts.latencies.clear();
    return report;
}

} // namespace damaskgate::health
