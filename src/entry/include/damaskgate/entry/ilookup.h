#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::entry {

/** An entry host in a look-up response. */
struct LookupEntry
{
    core::HostName host;
    std::string address; //!< IP address
    std::uint16_t port = 0; //!< HTTP port for callers
    core::DomainName domain;
};

/** Selects the entry hosts that the callers of a workspace should connect to. */
class ILookup
{
public:
    virtual ~ILookup() = default;

    /**
     * Called on the data thread.
     *
     * @param workspace workspace of the caller; empty for look-ups without a key
     * @return the hosts in order of preference
     */
    virtual std::vector<LookupEntry> rankFor(const core::WorkspaceName &workspace) = 0;

    /** @return how long a caller may cache a look-up response. */
    virtual std::chrono::seconds timeToLive() const = 0;
};

} // namespace damaskgate::entry
