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

/** How long callers may use a response of the look-up. */
constexpr std::chrono::seconds LookupTimeToLive { 2 };

/** Lists the hosts that the callers of a workspace should use. Used on the data thread. */
class FleetLookup final : public entry::ILookup
{
public:
    /** Returns the hosts preferred for the rate limit of a workspace, the most preferred first. */
    using PreferredHostsFinder =
        std::function<std::vector<core::HostName>(const core::WorkspaceName &)>;

    /** @param seed seeds the random choice among hosts that are not preferred for a workspace */
    explicit FleetLookup(std::uint64_t seed);

    /** Sets the hosts that accept new requests, in place of the previous ones. */
    void setHosts(std::vector<settings::Host> hosts);

    /** Sets the function that finds preferred hosts; without it all hosts are chosen at random. */
    void setPreferredHostsFinder(PreferredHostsFinder finder);

    std::vector<entry::LookupEntry> rankFor(const core::WorkspaceName &workspace) override;
    std::chrono::seconds timeToLive() const override;

private:
    void appendPreferredHosts(std::vector<const settings::Host *> &chosen,
                              const core::WorkspaceName &workspace) const;
    void appendRandomHosts(std::vector<const settings::Host *> &chosen);

    std::vector<settings::Host> hosts; //!< sorted by name
    PreferredHostsFinder findPreferredHosts;
    std::mt19937_64 random;
};

} // namespace damaskgate::daemon
