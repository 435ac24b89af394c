#include "changedetector.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace damaskgate::health {

namespace {

constexpr double ShareWithoutLargestHost = 0.4; //!< of the threshold
constexpr std::uint32_t SamplesOfActiveDomain = 4;

} // namespace

void ChangeDetector::add(const core::HostName &host, const core::DomainName &domain, Sample sample,
                         Hypotheses hypotheses)
{
    const double badStep = std::log(hypotheses.faulty / hypotheses.usual);
    const double goodStep = std::log((1 - hypotheses.faulty) / (1 - hypotheses.usual));
    const double step = sample.bad * badStep + sample.good * goodStep;
    this->sum += step;
    if (this->sum <= 0) {
        this->reset(0);
        return;
    }
    for (Contribution *contribution : { &this->hosts[host], &this->domains[domain] }) {
        contribution->score += step;
        contribution->samples += sample.bad + sample.good;
    }
}

double ChangeDetector::score() const
{
    return this->sum;
}

bool ChangeDetector::isAlarm(double threshold) const
{
    if (this->sum < threshold || this->hosts.empty()) {
        return false;
    }
    const auto scoreOf = [](const Contribution &contribution) {
        return contribution.score;
    };
    const auto hostScores = this->hosts | std::views::values | std::views::transform(scoreOf);
    if (this->sum - std::ranges::max(hostScores) < threshold * ShareWithoutLargestHost) {
        return false;
    }
    const auto isActive = [](const Contribution &contribution) {
        return contribution.samples >= SamplesOfActiveDomain;
    };
    const auto isBad = [](const Contribution &contribution) {
        return contribution.score > 0;
    };
    const auto active = std::ranges::count_if(this->domains | std::views::values, isActive);
    const auto bad = std::ranges::count_if(this->domains | std::views::values, isBad);
    return bad >= 2 || active < 2;
}

void ChangeDetector::reset(double score)
{
    this->sum = score;
    this->hosts.clear();
    this->domains.clear();
}

} // namespace damaskgate::health
