#include "damaskgate/fleet/fleettable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damaskgate::fleet {

FleetTable::FleetTable(core::HostName self, core::DomainName domain, FleetPace pace,
                       std::uint64_t seed, std::uint8_t corePercent)
    : selfName(std::move(self)), domain(std::move(domain)), pace(pace), random(seed),
      corePercent(corePercent)
{}

bool FleetTable::onHeard(const core::HostName &from, std::uint64_t incarnation,
                         const HostState &state, core::Instant now)
{
    if (from == this->selfName) {
        return false;
    }
    Entry &entry = this->entries[from];
    // The number of a process follows the wall clock, which may have gone back meanwhile.
    const bool isRecent = now - entry.member.heardAt <= this->pace.formerProcess;
    if (entry.isHeard && incarnation < entry.member.incarnation && isRecent) {
        return false;
    }
    const bool isChanged = !this->isEntryLive(entry, now) || entry.member.incarnation != incarnation
        || entry.member.state.isLeaving != state.isLeaving
        || entry.member.state.isServing != state.isServing;
    entry.isHeard = true;
    entry.hubAskedAt.reset();
    entry.member = Member { from, incarnation, state, now };
    return isChanged;
}

bool FleetTable::onVouched(const core::DomainName &domain, std::span<const Vouch> vouches,
                           core::Instant now)
{
    bool isChanged = false;
    for (const Vouch &vouch : vouches) {
        if (vouch.name == this->selfName) {
            continue;
        }
        Entry &entry = this->entries[vouch.name];
        const core::Instant heardAt = now - vouch.age;
        if (entry.isHeard && heardAt <= entry.member.heardAt) {
            continue;
        }
        HostState &state = entry.member.state;
        isChanged = isChanged || !this->isEntryLive(entry, now)
            || state.isLeaving != vouch.isLeaving || state.isServing != vouch.isServing;
        entry.isHeard = true;
        entry.member.name = vouch.name;
        entry.member.heardAt = heardAt;
        state.domain = domain;
        state.isLeaving = vouch.isLeaving;
        state.isServing = vouch.isServing;
        state.corePercent = vouch.corePercent;
    }
    return isChanged;
}

std::vector<Vouch> FleetTable::vouches(core::Instant now) const
{
    std::vector<Vouch> vouches;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain == this->domain) {
            const auto age =
                std::chrono::duration_cast<std::chrono::milliseconds>(now - member->heardAt);
            vouches.push_back({ member->name, age, member->state.isLeaving, member->state.isServing,
                                member->state.corePercent });
        }
    }
    return vouches;
}

std::vector<core::HostName> FleetTable::vouchTargets(std::uint64_t round, core::Instant now) const
{
    const auto near = this->neighbours(now);
    const auto rank = static_cast<std::uint64_t>(
        std::ranges::count_if(near, [this](const auto &name) { return name < this->selfName; }));
    std::vector<core::HostName> targets;
    for (const auto &[domain, hosts] : this->farHosts(now)) {
        targets.push_back(hosts[(rank + round) % hosts.size()]);
    }
    return targets;
}

std::map<core::DomainName, std::vector<core::HostName>>
FleetTable::farHosts(core::Instant now) const
{
    std::map<core::DomainName, std::vector<core::HostName>> byDomain;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain != this->domain) {
            byDomain[member->state.domain].push_back(member->name);
        }
    }
    return byDomain;
}

bool FleetTable::onTold(std::span<const core::HostName> names, core::Instant now)
{
    bool isAnyNew = false;
    for (const core::HostName &name : names) {
        if (name == this->selfName || this->entries.contains(name)) {
            continue;
        }
        Entry entry;
        entry.member.name = name;
        entry.member.heardAt = now;
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
        const bool isNear = entry.member.state.domain == this->domain;
        const bool isLive = this->isEntryLive(entry, now);
        if (isLive && !isNear) {
            continue;
        }
        const core::Duration interval = isLive ? this->pace.beatNear : this->pace.probeLost;
        if (!entry.sentAt || now - *entry.sentAt >= interval) {
            due.push_back(name);
        }
    }
    return due;
}

bool FleetTable::expire(core::Instant now)
{
    const auto isSilent = [this, now](const auto &item) {
        return now - item.second.member.heardAt > this->pace.forgetAfter;
    };
    return std::erase_if(this->entries, isSilent) > 0;
}

bool FleetTable::isLive(const core::HostName &name, core::Instant now) const
{
    const auto found = this->entries.find(name);
    return found != this->entries.end() && this->isEntryLive(found->second, now);
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
    for (const auto &[domain, hosts] : this->farHosts(now)) {
        std::uniform_int_distribution<std::size_t> pick(0, hosts.size() - 1);
        relays.push_back(hosts[pick(this->random)]);
    }
    return relays;
}

core::HostName FleetTable::hub(core::Instant now)
{
    // Stronger hosts go first, then those first by name.
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
        if (entry.hubAskedAt && now - *entry.hubAskedAt > this->pace.hubAnswer) {
            entry.hubAskedAt.reset();
            entry.hubReplacedAt = now;
        }
        if (!entry.hubReplacedAt || now - *entry.hubReplacedAt > this->pace.hubRest) {
            hub = name;
            hubCore = entry.member.state.corePercent;
        }
    }
    return hub;
}

void FleetTable::onSentToHub(const core::HostName &name, core::Instant now)
{
    const auto found = this->entries.find(name);
    if (found != this->entries.end() && !found->second.hubAskedAt) {
        found->second.hubAskedAt = now;
    }
}

std::vector<core::HostName> FleetTable::neighbours(core::Instant now) const
{
    std::vector<core::HostName> near;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain == this->domain) {
            near.push_back(member->name);
        }
    }
    return near;
}

double FleetTable::heardShare(core::Duration window, core::Instant now) const
{
    const auto wasLive = [window, now](const auto &item) {
        return item.second.isHeard && now - item.second.member.heardAt <= window;
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
    return found == this->entries.end() || !found->second.isHeard
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
    return entry.isHeard && now - entry.member.heardAt <= this->pace.lostAfter;
}

} // namespace damaskgate::fleet
