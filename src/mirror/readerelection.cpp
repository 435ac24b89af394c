#include "damaskgate/mirror/readerelection.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "damaskgate/core/hash.h"

namespace damaskgate::mirror {

namespace {

constexpr std::string_view RankKey = "source-reader";

} // namespace

ReaderElection::ReaderElection(core::HostName self, std::uint8_t corePercent)
    : self(std::move(self)), corePercent(corePercent)
{}

std::set<core::HostName> ReaderElection::hostsBefore(std::span<const ReaderCandidate> others) const
{
    std::set<core::HostName> before;
    std::vector<core::HostName> equals { this->self };
    for (const ReaderCandidate &other : others) {
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

std::size_t ReaderElection::rankAmong(std::span<const ReaderCandidate> others) const
{
    return this->hostsBefore(others).size();
}

bool ReaderElection::shouldRead(std::span<const ReaderCandidate> others, core::Instant now)
{
    const std::set<core::HostName> before = this->hostsBefore(others);
    const auto isFresh = [&before, now](const ReaderCandidate &other) {
        return before.contains(other.name) && other.sourceReachedAt
            && now - *other.sourceReachedAt <= MaxContactAge;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(others, isFresh)) >= TargetReaderCount) {
        this->lackingSince.reset();
        return false;
    }
    if (!this->lackingSince) {
        this->lackingSince = now;
    }
    const std::size_t rank = before.size();
    const core::Duration delay = rank < TargetReaderCount
        ? core::Duration::zero()
        : BaseDelay + DelayPerRank * static_cast<int>(std::min(rank, MaxDelayedRank));
    return now - *this->lackingSince >= delay;
}

} // namespace damaskgate::mirror
