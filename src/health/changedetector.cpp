#include "changedetector.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace damaskgate::health {

namespace {

/** Least score without the host that contributes most, as a fraction of the threshold. */
constexpr double MinScoreFractionOfOtherHosts = 0.4;
constexpr std::uint32_t MinSamplesOfActiveDomain = 4;

} // namespace

void ChangeDetector::add(const core::HostName &host, const core::DomainName &domain, Sample sample,
                         Hypotheses hypotheses)
{
    const double badStep = std::log(hypotheses.faulty / hypotheses.typical);
    const double goodStep = std::log((1 - hypotheses.faulty) / (1 - hypotheses.typical));
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
    if (this->sum - std::ranges::max(hostScores) < threshold * MinScoreFractionOfOtherHosts) {
        return false;
    }
    const auto isActive = [](const Contribution &contribution) {
        return contribution.samples >= MinSamplesOfActiveDomain;
    };
    const auto indicatesFault = [](const Contribution &contribution) {
        return contribution.score > 0;
    };
    const auto activeDomains = std::ranges::count_if(this->domains | std::views::values, isActive);
    const auto faultyDomains =
        std::ranges::count_if(this->domains | std::views::values, indicatesFault);
    return faultyDomains >= 2 || activeDomains < 2;
}

void ChangeDetector::reset(double score)
{
    this->sum = score;
    this->hosts.clear();
    this->domains.clear();
}

} // namespace damaskgate::health
