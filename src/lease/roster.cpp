#include "damaskgate/lease/roster.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::lease {

namespace {

using ScoredHost = std::pair<std::uint64_t, const RosterHost *>;

//! NOTE Not cryptographic: a SHA-256 per pair of host and partition would take seconds with
//! thousands of hosts.
std::uint64_t mixBits(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

std::vector<std::uint64_t> hashHosts(std::span<const RosterHost> hosts)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(hosts.size());
    std::ranges::transform(hosts, std::back_inserter(hashes),
                           [](const RosterHost &host) { return core::hash64(host.name.text()); });
    return hashes;
}

std::vector<ScoredHost> rankHosts(std::span<const RosterHost> hosts,
                                  std::span<const std::uint64_t> hashes, PartitionId partition)
{
    std::vector<ScoredHost> scores;
    scores.reserve(hosts.size());
    const std::uint64_t salt = mixBits(partition + 1);
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        scores.emplace_back(mixBits(hashes[index] ^ salt), &hosts[index]);
    }
    std::ranges::sort(scores, std::greater<> {});
    return scores;
}

std::vector<core::HostName> selectGrantors(std::span<const ScoredHost> ranked, std::size_t domains)
{
    if (ranked.empty()) {
        return {};
    }
    const std::size_t maxPerDomain = (Roster::GrantorCount + domains - 1) / domains;
    std::map<core::DomainName, std::size_t> grantorsPerDomain;
    std::vector<core::HostName> selected;
    std::vector<core::HostName> skipped;
    for (const auto &[score, host] : ranked) {
        const bool isBelowMaximum = grantorsPerDomain[host->domain] < maxPerDomain;
        grantorsPerDomain[host->domain] += isBelowMaximum ? 1 : 0;
        (isBelowMaximum ? selected : skipped).push_back(host->name);
        if (selected.size() == Roster::GrantorCount) {
            return selected;
        }
    }
    const std::size_t missing = std::min(Roster::GrantorCount - selected.size(), skipped.size());
    selected.insert(selected.end(), skipped.begin(),
                    skipped.begin() + static_cast<std::ptrdiff_t>(missing));
    return selected;
}

std::size_t countDomains(std::span<const RosterHost> hosts)
{
    std::vector<core::DomainName> domains;
    std::ranges::transform(hosts, std::back_inserter(domains), &RosterHost::domain);
    std::ranges::sort(domains);
    domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
    return domains.size();
}

std::uint64_t hashRoster(std::span<const RosterHost> hosts, std::span<const RosterHost> previous)
{
    std::string text;
    const auto append = [&text](const RosterHost &host) {
        text += host.name.text() + '\t' + host.domain.text() + '\n';
    };
    std::ranges::for_each(hosts, append);
    text += '\n';
    std::ranges::for_each(previous, append);
    return core::hash64(text);
}

std::vector<RosterHost> toRosterHosts(const std::map<core::HostName, settings::Host> &hosts)
{
    std::vector<RosterHost> rosterHosts;
    std::ranges::transform(hosts, std::back_inserter(rosterHosts), [](const auto &entry) {
        return RosterHost { entry.second.name, entry.second.domain };
    });
    return rosterHosts;
}

} // namespace

PartitionId partitionOf(std::string_view key)
{
    // FNV-1a, since this runs for every request and no attacker chooses the keys.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : key) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return static_cast<PartitionId>(mixBits(hash) % PartitionCount);
}

Roster::Roster(std::uint64_t revision, std::span<const RosterHost> hosts,
               std::span<const RosterHost> previous, std::optional<PartitionId> onlyPartition)
    : rosterId { hashRoster(hosts, previous), revision }
{
    const auto hashes = hashHosts(hosts);
    const auto previousHashes = hashHosts(previous);
    const std::size_t domains = countDomains(hosts);
    const std::size_t previousDomains = countDomains(previous);
    this->placements.resize(PartitionCount);
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        if (onlyPartition && *onlyPartition != partition) {
            continue;
        }
        Placement &placement = this->placements[partition];
        const auto ranked = rankHosts(hosts, hashes, partition);
        for (const auto &[score, host] :
             std::span(ranked).first(std::min(ranked.size(), RankingLength))) {
            placement.ranking.push_back(host->name);
        }
        placement.grantorSets.push_back(selectGrantors(ranked, domains));
        const auto previousGrantors =
            selectGrantors(rankHosts(previous, previousHashes, partition), previousDomains);
        if (!previousGrantors.empty() && previousGrantors != placement.grantorSets.front()) {
            placement.grantorSets.push_back(previousGrantors);
        }
    }
}

RosterPtr Roster::fromSettings(const settings::Settings &settings)
{
    return std::make_shared<Roster>(settings.revision.number, toRosterHosts(settings.hosts),
                                    toRosterHosts(settings.previousHosts));
}

const RosterId &Roster::id() const
{
    return this->rosterId;
}

const std::vector<core::HostName> &Roster::ranking(PartitionId partition) const
{
    return this->placements[partition].ranking;
}

const std::vector<std::vector<core::HostName>> &Roster::grantorSets(PartitionId partition) const
{
    return this->placements[partition].grantorSets;
}

} // namespace damaskgate::lease
