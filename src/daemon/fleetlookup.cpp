#include "fleetlookup.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <utility>

namespace damaskgate::daemon {

namespace {

constexpr std::size_t MaxEntries = 4;

entry::LookupEntry toEntry(const settings::Host *host)
{
    return entry::LookupEntry { host->name, host->address, host->callerPort, host->domain };
}

void appendOnce(std::vector<const settings::Host *> &chosen, const settings::Host &host)
{
    if (std::ranges::find(chosen, &host) == chosen.end()) {
        chosen.push_back(&host);
    }
}

} // namespace

FleetLookup::FleetLookup(std::uint64_t seed) : random(seed) {}

void FleetLookup::setHosts(std::vector<settings::Host> hosts)
{
    this->hosts = std::move(hosts);
    std::ranges::sort(this->hosts, {}, &settings::Host::name);
}

void FleetLookup::setPreferredHostsFinder(PreferredHostsFinder finder)
{
    this->findPreferredHosts = std::move(finder);
}

std::vector<entry::LookupEntry> FleetLookup::rankFor(const core::WorkspaceName &workspace)
{
    std::vector<const settings::Host *> chosen;
    if (!workspace.isEmpty()) {
        this->appendPreferredHosts(chosen, workspace);
    }
    this->appendRandomHosts(chosen);
    std::vector<entry::LookupEntry> entries;
    std::ranges::transform(chosen, std::back_inserter(entries), toEntry);
    return entries;
}

std::chrono::seconds FleetLookup::timeToLive() const
{
    return LookupTimeToLive;
}

void FleetLookup::appendPreferredHosts(std::vector<const settings::Host *> &chosen,
                                       const core::WorkspaceName &workspace) const
{
    if (!this->findPreferredHosts) {
        return;
    }
    for (const core::HostName &preferred : this->findPreferredHosts(workspace)) {
        const auto found =
            std::ranges::lower_bound(this->hosts, preferred, {}, &settings::Host::name);
        const bool isServing = found != this->hosts.end() && found->name == preferred;
        if (isServing && chosen.size() < MaxEntries) {
            appendOnce(chosen, *found);
        }
    }
}

void FleetLookup::appendRandomHosts(std::vector<const settings::Host *> &chosen)
{
    const std::size_t wanted = std::min(MaxEntries, this->hosts.size());
    while (chosen.size() < wanted) {
        std::uniform_int_distribution<std::size_t> pick(0, this->hosts.size() - 1);
        appendOnce(chosen, this->hosts[pick(this->random)]);
    }
}

} // namespace damaskgate::daemon
