#include "damaskgate/mirror/readerduty.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "damaskgate/core/hash.h"

namespace damaskgate::mirror {

namespace {

constexpr std::string_view RankKey = "source-reader";

} // namespace

ReaderDuty::ReaderDuty(core::HostName self) : self(std::move(self)) {}

bool ReaderDuty::shouldRead(std::span<const ReaderView> others, core::Instant now)
{
    std::vector<core::HostName> names { this->self };
    std::ranges::transform(others, std::back_inserter(names), &ReaderView::name);
    const auto ranked = core::rankHosts(names, RankKey);
    const auto own = std::ranges::find(ranked, this->self);
    const std::set<core::HostName> before(ranked.begin(), own);
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
