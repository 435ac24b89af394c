#include "damaskgate/fleet/fleettable.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace damaskgate::fleet {

FleetTable::FleetTable(core::HostName self, core::DomainName domain, FleetPace pace,
                       std::uint64_t seed)
    : selfName(std::move(self)), domain(std::move(domain)), pace(pace), random(seed)
{}

bool FleetTable::onHeard(const core::HostName &from, std::uint64_t incarnation,
                         const HostState &state, core::Instant now)
{
    if (from == this->selfName) {
        return false;
    }
    Entry &entry = this->entries[from];
    if (entry.isHeard && incarnation < entry.member.incarnation) {
        return false;
    }
    const bool isChanged = !this->isEntryLive(entry, now)
        || entry.member.incarnation != incarnation
        || entry.member.state.isLeaving != state.isLeaving
        || entry.member.state.isServing != state.isServing;
    entry.isHeard = true;
    entry.member = Member { from, incarnation, state, now };
    return isChanged;
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
        const core::Duration interval = !this->isEntryLive(entry, now) ? this->pace.probeLost
            : isNear                                                   ? this->pace.beatNear
                                                                       : this->pace.beatFar;
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
    std::map<core::DomainName, std::vector<core::HostName>> byDomain;
    for (const Member *member : this->liveMembers(now)) {
        if (member->state.domain != this->domain) {
            byDomain[member->state.domain].push_back(member->name);
        }
    }
    std::vector<core::HostName> relays;
    for (const auto &[domain, hosts] : byDomain) {
        std::uniform_int_distribution<std::size_t> pick(0, hosts.size() - 1);
        relays.push_back(hosts[pick(this->random)]);
    }
    return relays;
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

bool FleetTable::isEntryLive(const Entry &entry, core::Instant now) const
{
    return entry.isHeard && now - entry.member.heardAt <= this->pace.lostAfter;
}

} // namespace damaskgate::fleet
