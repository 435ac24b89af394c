#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::entry {

/** An entry host as callers see it in the look-up. */
struct LookupEntry
{
    core::HostName host;
    std::string address; //!< IP number
    std::uint16_t port = 0; //!< HTTP, for callers
    core::DomainName domain;
};

/** Chooses the entry hosts that a workspace's callers should connect to. */
class ILookup
{
public:
    virtual ~ILookup() = default;

    /**
     * Called on the data thread.
     *
     * @param workspace of the caller; empty for callers of open routes
     * @return the hosts to use, the most preferred first
     */
    virtual std::vector<LookupEntry> rankFor(const core::WorkspaceName &workspace) = 0;

    /** @return how long a caller may keep an answer. */
    virtual std::chrono::seconds timeToLive() const = 0;
};

} // namespace damaskgate::entry
