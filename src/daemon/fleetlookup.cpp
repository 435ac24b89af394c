#include "fleetlookup.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::daemon {

namespace {

constexpr std::size_t MaxNamedHosts = 4;
constexpr std::size_t MaxRememberedWorkspaces = 10000;

entry::LookupEntry toEntry(const settings::Host &host)
{
    return entry::LookupEntry { host.name, host.address, host.callerPort, host.domain };
}

void appendOnce(std::vector<core::HostName> &names, const core::HostName &name)
{
    if (std::ranges::find(names, name) == names.end()) {
        names.push_back(name);
    }
}

} // namespace

void FleetLookup::setHosts(std::vector<settings::Host> hosts)
{
    this->hosts.clear();
    this->ranked.clear();
    for (settings::Host &host : hosts) {
        const core::HostName name = host.name;
        this->hosts.emplace(name, std::move(host));
    }
}

void FleetLookup::setHomeFinder(HomeFinder finder)
{
    this->findHomes = std::move(finder);
}

std::vector<entry::LookupEntry> FleetLookup::rankFor(const core::WorkspaceName &workspace)
{
    std::vector<core::HostName> chosen;
    if (this->findHomes) {
        for (const core::HostName &home : this->findHomes(workspace)) {
            if (this->hosts.contains(home)) {
                appendOnce(chosen, home);
            }
        }
    }
    for (const core::HostName &host : this->rankedHosts(workspace)) {
        appendOnce(chosen, host);
    }
    std::vector<entry::LookupEntry> entries;
    for (const core::HostName &name : chosen | std::views::take(MaxNamedHosts)) {
        entries.push_back(toEntry(this->hosts.at(name)));
    }
    return entries;
}

std::chrono::seconds FleetLookup::timeToLive() const
{
    return LookupTimeToLive;
}

const std::vector<core::HostName> &FleetLookup::rankedHosts(const core::WorkspaceName &workspace)
{
    const auto known = this->ranked.find(workspace);
    if (known != this->ranked.end()) {
        return known->second;
    }
    if (this->ranked.size() >= MaxRememberedWorkspaces) {
        this->ranked.clear();
    }
    std::vector<core::HostName> names;
    std::ranges::copy(this->hosts | std::views::keys, std::back_inserter(names));
    std::vector<core::HostName> order = core::rankHosts(names, workspace.text());
    order.resize(std::min(order.size(), MaxNamedHosts));
    return this->ranked.emplace(workspace, std::move(order)).first->second;
}

} // namespace damaskgate::daemon
