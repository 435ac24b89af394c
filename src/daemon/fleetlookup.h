#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
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

    /** @param seed of the choice among hosts that hold no part of a workspace's rate */
    explicit FleetLookup(std::uint64_t seed);

    /** Replaces the hosts that take new work. */
    void setHosts(std::vector<settings::Host> hosts);

    /** Sets who knows the homes of a workspace; without it every host is as good as another. */
    void setHomeFinder(HomeFinder finder);

    std::vector<entry::LookupEntry> rankFor(const core::WorkspaceName &workspace) override;
    std::chrono::seconds timeToLive() const override;

private:
    void appendHomes(std::vector<const settings::Host *> &chosen,
                     const core::WorkspaceName &workspace) const;
    void appendOthers(std::vector<const settings::Host *> &chosen);

    std::vector<settings::Host> hosts; //!< by name
    HomeFinder findHomes;
    std::mt19937_64 random;
};

} // namespace damaskgate::daemon
