#include "damaskgate/lease/roster.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::lease {

namespace {

using Scored = std::pair<std::uint64_t, const RosterHost *>;

//! NOTE One SHA-256 for each pair of host and partition would take seconds at thousands of hosts.
std::uint64_t mix(std::uint64_t value)
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

std::vector<Scored> rank(std::span<const RosterHost> hosts, std::span<const std::uint64_t> hashes,
                         PartitionId partition)
{
    std::vector<Scored> scored;
    scored.reserve(hosts.size());
    const std::uint64_t salt = mix(partition + 1);
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        scored.emplace_back(mix(hashes[index] ^ salt), &hosts[index]);
    }
    std::ranges::sort(scored, std::greater<> {});
    return scored;
}

std::vector<core::HostName> chooseGrantors(std::span<const Scored> ranked, std::size_t domains)
{
    if (ranked.empty()) {
        return {};
    }
    const std::size_t mostPerDomain = (Roster::GrantorCount + domains - 1) / domains;
    std::map<core::DomainName, std::size_t> used;
    std::vector<core::HostName> chosen;
    std::vector<core::HostName> passed;
    for (const auto &[score, host] : ranked) {
        const bool hasRoom = used[host->domain] < mostPerDomain;
        used[host->domain] += hasRoom ? 1 : 0;
        (hasRoom ? chosen : passed).push_back(host->name);
        if (chosen.size() == Roster::GrantorCount) {
            return chosen;
        }
    }
    const std::size_t missing = std::min(Roster::GrantorCount - chosen.size(), passed.size());
    chosen.insert(chosen.end(), passed.begin(),
                  passed.begin() + static_cast<std::ptrdiff_t>(missing));
    return chosen;
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

std::vector<RosterHost> listHosts(const std::map<core::HostName, settings::Host> &hosts)
{
    std::vector<RosterHost> listed;
    std::ranges::transform(hosts, std::back_inserter(listed), [](const auto &entry) {
        return RosterHost { entry.second.name, entry.second.domain };
    });
    return listed;
}

} // namespace

PartitionId partitionOf(std::string_view key)
{
    // FNV-1a: this runs for every request, and no adversary chooses the keys.
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : key) {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    return static_cast<PartitionId>(mix(hash) % PartitionCount);
}

Roster::Roster(std::uint64_t revision, std::span<const RosterHost> hosts,
               std::span<const RosterHost> previous, std::optional<PartitionId> only)
    : rosterId { hashRoster(hosts, previous), revision }
{
    const auto hashes = hashHosts(hosts);
    const auto previousHashes = hashHosts(previous);
    const std::size_t domains = countDomains(hosts);
    const std::size_t previousDomains = countDomains(previous);
    this->placements.resize(PartitionCount);
    for (PartitionId partition = 0; partition < PartitionCount; ++partition) {
        if (only && *only != partition) {
            continue;
        }
        Placement &placement = this->placements[partition];
        const auto ranked = rank(hosts, hashes, partition);
        for (const auto &[score, host] :
             std::span(ranked).first(std::min(ranked.size(), RankingLength))) {
            placement.ranking.push_back(host->name);
        }
        placement.grantorSets.push_back(chooseGrantors(ranked, domains));
        const auto before =
            chooseGrantors(rank(previous, previousHashes, partition), previousDomains);
        if (!before.empty() && before != placement.grantorSets.front()) {
            placement.grantorSets.push_back(before);
        }
    }
}

RosterPtr Roster::fromSettings(const settings::Settings &settings)
{
    return std::make_shared<Roster>(settings.revision.number, listHosts(settings.hosts),
                                    listHosts(settings.previousHosts));
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
