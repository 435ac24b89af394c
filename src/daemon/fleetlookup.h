#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/entry/ilookup.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::daemon {

/** How long callers keep an answer of the look-up. */
constexpr std::chrono::seconds LookupTimeToLive { 2 };

/** Names the hosts that a workspace's callers should use. Used on the data thread. */
class FleetLookup final : public entry::ILookup
{
public:
    /** Gives the hosts that hold a workspace's rate, the most preferred first. */
    using HomeFinder = std::function<std::vector<core::HostName>(const core::WorkspaceName &)>;

    /** Replaces the hosts that take new work. */
    void setHosts(std::vector<settings::Host> hosts);

    /** Sets who knows the homes of a workspace; without it the ranking alone decides. */
    void setHomeFinder(HomeFinder finder);

    std::vector<entry::LookupEntry> rankFor(const core::WorkspaceName &workspace) override;
    std::chrono::seconds timeToLive() const override;

private:
    const std::vector<core::HostName> &rankedHosts(const core::WorkspaceName &workspace);

    std::map<core::HostName, settings::Host> hosts;
    std::map<core::WorkspaceName, std::vector<core::HostName>> ranked; //!< cleared with the hosts
    HomeFinder findHomes;
};

} // namespace damaskgate::daemon
