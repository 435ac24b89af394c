#include "damaskgate/health/ejectionview.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace damaskgate::health {

void EjectionView::applyFloor(const Floor &newFloor)
{
    this->floor = newFloor;
}

void EjectionView::onReportSent(std::uint64_t sequence, core::Instant now)
{
    while (!this->sentReports.empty()
           && this->sentReports.front().sentAt + EjectionUpdateLifetime <= now) {
        this->sentReports.pop_front();
    }
    this->sentReports.push_back({ sequence, now });
}

void EjectionView::onUpdate(const EjectionUpdate &update, core::Instant now)
{
    const auto report =
        std::ranges::find(this->sentReports, update.sequence, &SentReport::sequence);
    if (report == this->sentReports.end() || report->sentAt + EjectionUpdateLifetime <= now) {
        return;
    }
    const bool isSameReport = update.sequence == this->appliedSequence;
    if (update.sequence < this->appliedSequence
        || (isSameReport && update.revision < this->appliedRevision)) {
        return;
    }
    this->appliedRevision = update.revision;
    this->appliedSequence = update.sequence;
    this->expiry = report->sentAt + EjectionUpdateLifetime;
    this->endpoints = update.ejected;
}

std::set<core::EndpointName> EjectionView::ejected(core::Instant now) const
{
    if (now >= this->expiry) {
        return {};
    }
    const auto isInService = [this](const auto &name) {
        return this->floor.isInService(name);
    };
    std::set<core::EndpointName> result;
    std::ranges::copy(this->endpoints | std::views::filter(isInService)
                          | std::views::take(this->floor.allowedEjections()),
                      std::inserter(result, result.end()));
    return result;
}

} // namespace damaskgate::health
