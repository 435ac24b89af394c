#include "damaskgate/mirror/readerduty.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "damaskgate/core/hash.h"

namespace damaskgate::mirror {

namespace {

constexpr std::string_view RankKey = "source-reader";

} // namespace

ReaderDuty::ReaderDuty(core::HostName self, std::uint8_t corePercent)
    : self(std::move(self)), corePercent(corePercent)
{}

std::set<core::HostName> ReaderDuty::hostsBefore(std::span<const ReaderView> others) const
{
    std::set<core::HostName> before;
    std::vector<core::HostName> equals { this->self };
    for (const ReaderView &other : others) {
        if (other.corePercent > this->corePercent) {
            before.insert(other.name);
        } else if (other.corePercent == this->corePercent) {
            equals.push_back(other.name);
        }
    }
    const auto ranked = core::rankHosts(equals, RankKey);
    before.insert(ranked.begin(), std::ranges::find(ranked, this->self));
    return before;
}

std::size_t ReaderDuty::rankAmong(std::span<const ReaderView> others) const
{
    return this->hostsBefore(others).size();
}

bool ReaderDuty::shouldRead(std::span<const ReaderView> others, core::Instant now)
{
    const std::set<core::HostName> before = this->hostsBefore(others);
    const auto isFresh = [&before, now](const ReaderView &other) {
        return before.contains(other.name) && other.sourceSeenAt
            && now - *other.sourceSeenAt <= FreshFor;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(others, isFresh)) >= WantedReaders) {
        this->lackingSince.reset();
        return false;
    }
    if (!this->lackingSince) {
        this->lackingSince = now;
    }
    const std::size_t rank = before.size();
    const core::Duration delay = rank < WantedReaders
        ? core::Duration::zero()
        : FirstDelay + DelayPerRank * static_cast<int>(std::min(rank, MaxDelayedRank));
    return now - *this->lackingSince >= delay;
}

} // namespace damaskgate::mirror
