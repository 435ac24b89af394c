#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::upstreams {

/**
 * Ranks the live hosts for a subject by rendezvous hashing, so that hosts with the same list of
 * live hosts agree without messages which few hosts may use the subject.
 */
class HostRanking
{
public:
    /**
     * Sets the live hosts.
     *
     * @param self name of this host
     * @return whether the hosts changed
     */
    bool setHosts(const core::HostName &self, std::span<const core::HostName> others);

    /** @return the number of known hosts including this one; at least 1. */
    std::size_t size() const;

    /** @return the number of hosts that rank before this one for @p subject. */
    std::size_t rankFor(std::uint32_t subject) const;

private:
    std::vector<core::HostName> otherNames;
    std::uint32_t self = 0;
    std::vector<std::uint32_t> others;
};

} // namespace damaskgate::upstreams
