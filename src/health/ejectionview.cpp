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
    while (!this->sent.empty() && this->sent.front().at + EjectionUpdateLifetime <= now) {
        this->sent.pop_front();
    }
    this->sent.push_back({ sequence, now });
}

void EjectionView::onUpdate(const EjectionUpdate &news, core::Instant now)
{
    const auto report = std::ranges::find(this->sent, news.sequence, &Sent::sequence);
    if (report == this->sent.end() || report->at + EjectionUpdateLifetime <= now) {
        return;
    }
    const bool isSameReport = news.sequence == this->answered;
    if (news.sequence < this->answered || (isSameReport && news.revision < this->revision)) {
        return;
    }
    this->revision = news.revision;
    this->answered = news.sequence;
    this->end = report->at + EjectionUpdateLifetime;
    this->endpoints = news.ejected;
}

std::set<core::EndpointName> EjectionView::ejected(core::Instant now) const
{
    if (now >= this->end) {
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
