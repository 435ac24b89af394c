#include "damaskgate/fleet/fleettable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damaskgate::fleet {

FleetTable::FleetTable(core::HostName self, core::DomainName domain, FleetTiming timing,
                       std::uint64_t seed, std::uint8_t corePercent)
    : selfName(std::move(self)), domain(std::move(domain)), timing(timing), random(seed),
      corePercent(corePercent)
{}

bool FleetTable::onHeartbeat(const core::HostName &from, std::uint64_t incarnation,
                             const HostState &state, core::Instant now)
{
    if (from == this->selfName) {
        return false;
    }
    Entry &entry = this->entries[from];
    // Incarnations come from the wall clock. After a restart with the clock set back, the new
    // process has the lower incarnation, so a lower one is ignored for a limited time only.
    const bool isRecent = now - entry.member.lastContactAt <= this->timing.formerProcessTimeout;
    if (entry.hasBeenSeen && incarnation < entry.member.incarnation && isRecent) {
        return false;
    }
    const bool isChanged = !this->isEntryLive(entry, now) || entry.member.incarnation != incarnation
        || entry.member.state.isLeaving != state.isLeaving
        || entry.member.state.isServing != state.isServing;
    if (!entry.firstMessageAt || entry.member.incarnation != incarnation) {
        entry.firstMessageAt = now;
    }
    entry.hasBeenSeen = true;
    entry.hubRequestedAt.reset();
    entry.member = Member { from, incarnation, state, now };
    return isChanged;
}

bool FleetTable::onIndirectHeartbeats(const core::DomainName &domain,
                                      std::span<const IndirectHeartbeat> indirectHeartbeats,
                                      core::Instant now)
{
    bool isChanged = false;
    for (const IndirectHeartbeat &indirect : indirectHeartbeats) {
        if (indirect.name == this->selfName) {
            continue;
        }
        Entry &entry = this->entries[indirect.name];
        const core::Instant lastContactAt = now - indirect.age;
        if (entry.hasBeenSeen && lastContactAt <= entry.member.lastContactAt) {
            continue;
        }
        HostState &state = entry.member.state;
        isChanged = isChanged || !this->isEntryLive(entry, now)
            || state.isLeaving != indirect.isLeaving || state.isServing != indirect.isServing;
        entry.hasBeenSeen = true;
        entry.member.name = indirect.name;
        entry.member.lastContactAt = lastContactAt;
        state.domain = domain;
        state.isLeaving = indirect.isLeaving;
        state.isServing = indirect.isServing;
        state.corePercent = indirect.corePercent;
    }
    return isChanged;
}

std::vector<IndirectHeartbeat> FleetTable::indirectHeartbeats(core::Instant now) const
{
    std::vector<IndirectHeartbeat> indirectHeartbeats;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain == this->domain) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - member->lastContactAt);
            indirectHeartbeats.push_back({ member->name, age, member->state.isLeaving,
                                           member->state.isServing, member->state.corePercent });
        }
    }
    return indirectHeartbeats;
}

// The local hosts divide the hosts of a remote domain by rank, so that each receiver hears from one
// of them in each round whatever the sizes of the two domains. The assignment moves on by one host
// in each round, so that a receiver does not depend on one sender.
std::vector<core::HostName> FleetTable::indirectHeartbeatTargets(std::uint64_t round,
                                                                 core::Instant now) const
{
    const auto local = this->localHosts(now);
    const auto rank = static_cast<std::uint64_t>(
        std::ranges::count_if(local, [this](const auto &name) { return name < this->selfName; }));
    const std::uint64_t senderCount = local.size() + 1;
    std::vector<core::HostName> targets;
    for (const auto &[domain, hosts] : this->remoteHostsByDomain(now)) {
        if (rank >= hosts.size()) {
            // More senders than receivers: the surplus senders repeat the first receivers.
            targets.push_back(hosts[(rank + round) % hosts.size()]);
            continue;
        }
        for (std::uint64_t position = rank; position < hosts.size(); position += senderCount) {
            targets.push_back(hosts[(position + round) % hosts.size()]);
        }
    }
    return targets;
}

std::map<core::DomainName, std::vector<core::HostName>>
FleetTable::remoteHostsByDomain(core::Instant now) const
{
    std::map<core::DomainName, std::vector<core::HostName>> byDomain;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain != this->domain) {
            byDomain[member->state.domain].push_back(member->name);
        }
    }
    return byDomain;
}

bool FleetTable::addHosts(std::span<const core::HostName> names, core::Instant now)
{
    bool isAnyNew = false;
    for (const core::HostName &name : names) {
        if (name == this->selfName || this->entries.contains(name)) {
            continue;
        }
        Entry entry;
        entry.member.name = name;
        entry.member.lastContactAt = now;
        this->entries.emplace(name, std::move(entry));
        isAnyNew = true;
    }
    return isAnyNew;
}

void FleetTable::onSent(const core::HostName &to, core::Instant now)
{
    const auto found = this->entries.find(to);
    if (found != this->entries.end()) {
        found->second.sentAt = now;
    }
}

std::vector<core::HostName> FleetTable::dueHosts(core::Instant now) const
{
    std::vector<core::HostName> due;
    for (const auto &[name, entry] : this->entries) {
        const bool isLocal = entry.member.state.domain == this->domain;
        const bool isLive = this->isEntryLive(entry, now);
        if (isLive && !isLocal) {
            continue;
        }
        const core::Duration interval =
            isLive ? this->timing.heartbeatInterval : this->timing.lostRetryInterval;
        if (!entry.sentAt || now - *entry.sentAt >= interval) {
            due.push_back(name);
        }
    }
    return due;
}

bool FleetTable::expire(core::Instant now)
{
    const auto isSilent = [this, now](const auto &item) {
        return now - item.second.member.lastContactAt > this->timing.expiryTimeout;
    };
    return std::erase_if(this->entries, isSilent) > 0;
}

bool FleetTable::isLive(const core::HostName &name, core::Instant now) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && this->isEntryLive(found->second, now);
}

bool FleetTable::hasJustStarted(const core::HostName &name, core::Instant now) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && found->second.firstMessageAt
        && now - *found->second.firstMessageAt <= this->timing.startTime;
}

std::vector<const Member *> FleetTable::liveMembers(core::Instant now) const
{
    std::vector<const Member *> live;
    for (const auto &[name, entry] : this->entries) {
        if (this->isEntryLive(entry, now)) {
            live.push_back(&entry.member);
        }
    }
    return live;
}

std::vector<core::HostName> FleetTable::names() const
{
    std::vector<core::HostName> names;
    std::ranges::transform(this->entries, std::back_inserter(names),
                           [](const auto &item) { return item.first; });
    return names;
}

std::vector<core::HostName> FleetTable::sample(std::size_t count, core::Instant now)
{
    const auto live = this->liveMembers(now);
    std::vector<const Member *> picked;
    std::ranges::sample(live, std::back_inserter(picked), static_cast<std::ptrdiff_t>(count),
                        this->random);
    std::vector<core::HostName> names;
    std::ranges::transform(picked, std::back_inserter(names), &Member::name);
    return names;
}

std::vector<core::HostName> FleetTable::relays(core::Instant now)
{
    std::vector<core::HostName> relays;
    for (const auto &[domain, hosts] : this->remoteHostsByDomain(now)) {
        std::uniform_int_distribution<std::size_t> pick(0, hosts.size() - 1);
        relays.push_back(hosts[pick(this->random)]);
    }
    return relays;
}

core::HostName FleetTable::hub(core::Instant now)
{
    // Hosts with more processor share come first, then the order of names decides.
    const auto isBefore = [](std::uint8_t core, const core::HostName &name, std::uint8_t otherCore,
                             const core::HostName &otherName) {
        return core != otherCore ? core > otherCore : name < otherName;
    };
    core::HostName hub = this->selfName;
    std::uint8_t hubCore = this->corePercent;
    for (auto &[name, entry] : this->entries) {
        if (!this->isHubCandidate(entry, now)
            || !isBefore(entry.member.state.corePercent, name, hubCore, hub)) {
            continue;
        }
        if (entry.hubRequestedAt && now - *entry.hubRequestedAt > this->timing.hubReplyTimeout) {
            entry.hubRequestedAt.reset();
            entry.hubReplacedAt = now;
        }
        if (!entry.hubReplacedAt || now - *entry.hubReplacedAt > this->timing.hubReplacementTime) {
            hub = name;
            hubCore = entry.member.state.corePercent;
        }
    }
    return hub;
}

void FleetTable::onSentToHub(const core::HostName &name, core::Instant now)
{
    const auto found = this->entries.find(name);
    if (found != this->entries.end() && !found->second.hubRequestedAt) {
        found->second.hubRequestedAt = now;
    }
}

std::vector<core::HostName> FleetTable::localHosts(core::Instant now) const
{
    std::vector<core::HostName> local;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain == this->domain) {
            local.push_back(member->name);
        }
    }
    return local;
}

double FleetTable::reachableFraction(core::Duration window, core::Instant now) const
{
    const auto wasLive = [window, now](const auto &item) {
        return item.second.hasBeenSeen && now - item.second.member.lastContactAt <= window;
    };
    const auto known = std::ranges::count_if(this->entries, wasLive) + 1;
    const auto live = static_cast<std::ptrdiff_t>(this->liveMembers(now).size()) + 1;
    return std::min(static_cast<double>(live) / static_cast<double>(known), 1.0);
}

const core::HostName &FleetTable::self() const
{
    return this->selfName;
}

const core::DomainName &FleetTable::ownDomain() const
{
    return this->domain;
}

std::optional<core::DomainName> FleetTable::domainOf(const core::HostName &name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() || !found->second.hasBeenSeen
        ? std::nullopt
        : std::optional(found->second.member.state.domain);
}

bool FleetTable::isHubCandidate(const Entry &entry, core::Instant now) const
{
    return this->isEntryLive(entry, now) && entry.member.state.domain == this->domain
        && !entry.member.state.isLeaving;
}

bool FleetTable::isEntryLive(const Entry &entry, core::Instant now) const
{
    return entry.hasBeenSeen && now - entry.member.lastContactAt <= this->timing.lostTimeout;
}

} // namespace damaskgate::fleet
