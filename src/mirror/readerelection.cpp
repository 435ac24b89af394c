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

std::set<core::HostName>
ReaderElection::higherRankedHosts(std::span<const ReaderCandidate> others) const
{
    std::set<core::HostName> higherRanked;
    std::vector<core::HostName> equallyStrong { this->self };
    for (const ReaderCandidate &other : others) {
        if (other.corePercent > this->corePercent) {
            higherRanked.insert(other.name);
        } else if (other.corePercent == this->corePercent) {
            equallyStrong.push_back(other.name);
        }
    }
    const auto ranked = core::rankHosts(equallyStrong, RankKey);
    higherRanked.insert(ranked.begin(), std::ranges::find(ranked, this->self));
    return higherRanked;
}

std::size_t ReaderElection::rankAmong(std::span<const ReaderCandidate> others) const
{
    return this->higherRankedHosts(others).size();
}

bool ReaderElection::shouldRead(std::span<const ReaderCandidate> others, core::Instant now)
{
    const std::set<core::HostName> higherRanked = this->higherRankedHosts(others);
    const auto isActiveReader = [&higherRanked, now](const ReaderCandidate &other) {
        return higherRanked.contains(other.name) && other.sourceReachedAt
            && now - *other.sourceReachedAt <= MaxContactAge;
    };
    if (static_cast<std::size_t>(std::ranges::count_if(others, isActiveReader))
        >= TargetReaderCount) {
        this->tooFewReadersSince.reset();
        return false;
    }
    if (!this->tooFewReadersSince) {
        this->tooFewReadersSince = now;
    }
    const std::size_t rank = higherRanked.size();
    const core::Duration delay = rank < TargetReaderCount
        ? core::Duration::zero()
        : BaseDelay + DelayPerRank * static_cast<int>(std::min(rank, MaxDelayedRank));
    return now - *this->tooFewReadersSince >= delay;
}

} // namespace damaskgate::mirror
