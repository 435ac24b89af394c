#include "damaskgate/mirror/readerelection.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>
#include <vector>

#include "damaskgate/core/hash.h"

namespace damaskgate::mirror {

namespace {

constexpr std::string_view RankKey = "source-reader";

// Returns until when @p reader counts as reaching the source if nothing more is heard of it.
core::Instant activeUntil(const ReaderCandidate &reader, core::Instant now)
{
    return std::min(*reader.sourceReachedAt + ReaderElection::MaxContactAge,
                    now - reader.silence + ReaderElection::MaxReaderSilence);
}

bool isActive(const ReaderCandidate &reader, core::Instant now)
{
    return reader.sourceReachedAt && now <= activeUntil(reader, now);
}

} // namespace

ReaderElection::ReaderElection(core::HostName self, std::uint8_t corePercent,
                               core::DomainName domain)
    : self(std::move(self)), corePercent(corePercent), domain(std::move(domain))
{}

// Ranking takes a hash of each name, so it is done only when the hosts have changed.
void ReaderElection::updateStandings(std::span<const ReaderCandidate> others)
{
    std::vector<Strength> hosts;
    hosts.reserve(others.size() + 1);
    hosts.push_back({ this->self, this->corePercent, this->domain });
    std::ranges::transform(others, std::back_inserter(hosts), [](const ReaderCandidate &other) {
        return Strength { other.name, other.corePercent, other.domain };
    });
    if (hosts == this->rankedHosts) {
        return;
    }
    std::vector<core::HostName> names;
    std::map<core::HostName, const Strength *> strengths;
    for (const Strength &host : hosts) {
        names.push_back(host.name);
        strengths.emplace(host.name, &host);
    }
    std::vector<core::HostName> ranked = core::rankHosts(names, RankKey);
    std::ranges::stable_sort(ranked, std::greater<> {}, [&strengths](const auto &name) {
        return strengths.at(name)->corePercent;
    });
    std::map<core::DomainName, std::size_t> hostsByDomain;
    this->standings.clear();
    for (const core::HostName &name : ranked) {
        const std::size_t localRank = hostsByDomain[strengths.at(name)->domain]++;
        this->standings.emplace(name, Standing { localRank, this->standings.size() });
    }
    this->ownStanding = this->standings.at(this->self);
    this->rankedHosts = std::move(hosts);
}

bool ReaderElection::isPreferred(const ReaderCandidate &other) const
{
    return this->standings.at(other.name) < this->ownStanding;
}

bool ReaderElection::isResponsive(const ReaderCandidate &other) const
{
    return other.domain != this->domain || other.silence <= MaxLocalSilence;
}

std::size_t ReaderElection::localRankAmong(std::span<const ReaderCandidate> others)
{
    this->updateStandings(others);
    return this->localRank(others);
}

std::size_t ReaderElection::localRank(std::span<const ReaderCandidate> others) const
{
    const auto ranksHigher = [this](const ReaderCandidate &other) {
        return other.domain == this->domain && this->isResponsive(other)
            && this->isPreferred(other);
    };
    return static_cast<std::size_t>(std::ranges::count_if(others, ranksHigher));
}

bool ReaderElection::shouldRead(std::span<const ReaderCandidate> others, core::Instant now)
{
    this->updateStandings(others);
    bool isAnyReaderActive = false;
    std::vector<core::Instant> preferredActiveUntil;
    for (const ReaderCandidate &other : others) {
        if (!isActive(other, now)) {
            continue;
        }
        isAnyReaderActive = true;
        if (this->isPreferred(other)) {
            preferredActiveUntil.push_back(activeUntil(other, now));
        }
    }
    if (preferredActiveUntil.size() >= TargetReaderCount) {
        std::ranges::sort(preferredActiveUntil, std::greater<> {});
        this->tooFewReadersSince.reset();
        this->decisionOutdatedAt = preferredActiveUntil[TargetReaderCount - 1];
        return false;
    }
    if (!this->tooFewReadersSince) {
        this->tooFewReadersSince = now;
    }
    const core::Instant readFrom =
        *this->tooFewReadersSince + this->delay(others, isAnyReaderActive);
    this->decisionOutdatedAt = readFrom > now ? std::optional(readFrom) : std::nullopt;
    return now >= readFrom;
}

core::Duration ReaderElection::delay(std::span<const ReaderCandidate> others,
                                     bool isAnyReaderActive) const
{
    const auto isWaitedFor = [this](const ReaderCandidate &other) {
        return this->isResponsive(other) && this->isPreferred(other);
    };
    const auto preferredCount =
        static_cast<std::size_t>(std::ranges::count_if(others, isWaitedFor));
    if (preferredCount < TargetReaderCount) {
        return core::Duration::zero();
    }
    const std::size_t rank = isAnyReaderActive ? preferredCount : this->localRank(others);
    return rank == 0 ? core::Duration::zero()
                     : BaseDelay + DelayPerRank * static_cast<int>(std::min(rank, MaxDelayedRank));
}

std::optional<core::Instant> ReaderElection::nextDecisionAt() const
{
    return this->decisionOutdatedAt;
}

} // namespace damaskgate::mirror
