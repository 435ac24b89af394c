#pragma once

#include <functional>
#include <vector>

#include "damaskgate/core/names.h"

#include "damaskgate/membership/membertypes.h"

namespace damaskgate::membership {

/** The states of all hosts as this host knows them. Must be used on the control thread. */
class IMemberView
{
public:
    virtual ~IMemberView() = default;

    /** @return the state of @p host; Dead when it is not in the roster. */
    virtual MemberState stateOf(const core::HostName &host) const = 0;

    /** @return the hosts that accept new work, including this one unless it is leaving. */
    virtual std::vector<core::HostName> liveHosts() const = 0;
};

} // namespace damaskgate::membership
