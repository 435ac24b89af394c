#include "damaskgate/settings/freshnessguard.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

namespace damaskgate::settings {

FreshnessGuard::FreshnessGuard(core::Duration limit) : limit(limit) {}

void FreshnessGuard::onPlatformAnswered(core::Instant sentAt)
{
    this->platformAnswered = std::max(this->platformAnswered, std::optional(sentAt));
}

void FreshnessGuard::setSampledPeers(std::span<const core::HostName> peers)
{
    std::map<core::HostName, std::optional<core::Instant>> sample;
    for (const core::HostName &peer : peers) {
        const auto known = this->peers.find(peer);
        sample[peer] = known == this->peers.end() ? std::nullopt : known->second;
    }
    this->peers = std::move(sample);
    this->isSampleKnown = true;
}

void FreshnessGuard::onPeerHeard(const core::HostName &peer, core::Instant now)
{
    const auto known = this->peers.find(peer);
    if (known != this->peers.end()) {
        known->second = std::max(known->second, std::optional(now));
    }
}

core::Instant FreshnessGuard::freshUntil() const
{
    if (this->isSampleKnown && this->peers.empty()) {
        return core::Instant::max();
    }
    const auto evidence = std::max(this->platformAnswered, this->lastHeardFromHalf());
    return evidence ? *evidence + this->limit : core::Instant::min();
}

bool FreshnessGuard::isFresh(core::Instant now) const
{
    return now < this->freshUntil();
}

std::optional<core::Instant> FreshnessGuard::lastHeardFromHalf() const
{
    if (this->peers.empty()) {
        return std::nullopt;
    }
    std::vector<std::optional<core::Instant>> heard;
    heard.reserve(this->peers.size());
    std::ranges::transform(this->peers, std::back_inserter(heard),
                           [](const auto &peer) { return peer.second; });
    const std::size_t half = (heard.size() + 1) / 2;
    const auto last = heard.begin() + static_cast<std::ptrdiff_t>(half - 1);
    std::ranges::nth_element(heard, last, std::greater<> {});
    return *last;
}

} // namespace damaskgate::settings
