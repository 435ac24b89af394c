#include "damaskgate/publication/watchelection.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>
#include <vector>

#include "damaskgate/core/hash.h"

namespace damaskgate::publication {

namespace {

constexpr double KeysPerHost = 2; //!< the manifest and the host list

std::size_t countWatchers(std::span<const WatchCandidate> live, std::size_t watchersPerDomain)
{
    std::map<core::DomainName, std::size_t> hostsByDomain;
    for (const WatchCandidate &candidate : live) {
        ++hostsByDomain[candidate.domain];
    }
    std::size_t watchers = 0;
    for (const auto &[domain, hosts] : hostsByDomain) {
        watchers += std::min(hosts, watchersPerDomain);
    }
    return watchers;
}

} // namespace

WatchElection::WatchElection(core::HostName self, core::DomainName domain, WatchLimits limits)
    : self(std::move(self)), domain(std::move(domain)), limits(limits)
{}

ReadTiming WatchElection::timingFor(std::span<const WatchCandidate> live) const
{
    if (this->isWatcher(live)) {
        return { this->limits.blockingWait, std::chrono::milliseconds(0) };
    }
    return this->pollTiming(live.size(), countWatchers(live, this->limits.watchersPerDomain));
}

bool WatchElection::isWatcher(std::span<const WatchCandidate> live) const
{
    std::vector<core::HostName> candidates { this->self };
    for (const WatchCandidate &candidate : live) {
        if (candidate.domain == this->domain && candidate.host != this->self) {
            candidates.push_back(candidate.host);
        }
    }
    const auto ranked = core::rankHosts(candidates, "watch " + this->domain.text());
    const auto position = std::ranges::find(ranked, this->self) - ranked.begin();
    return std::cmp_less(position, this->limits.watchersPerDomain);
}

ReadTiming WatchElection::pollTiming(std::size_t hosts, std::size_t watchers) const
{
    const double watchSeconds = std::chrono::duration<double>(this->limits.blockingWait).count();
    const double watchCalls = static_cast<double>(watchers) * KeysPerHost / watchSeconds;
    const double callsForPolling = std::max(this->limits.maxCallsPerSecond - watchCalls, 1.0);
    const auto pollers = static_cast<double>(hosts - std::min(hosts, watchers));
    const double pauseSeconds = pollers * KeysPerHost / callsForPolling;
    const auto pause =
        std::chrono::milliseconds(static_cast<std::int64_t>(std::ceil(pauseSeconds * 1000)));
    return { std::chrono::milliseconds(0), std::max(pause, this->limits.minPollPause) };
}

} // namespace damaskgate::publication
