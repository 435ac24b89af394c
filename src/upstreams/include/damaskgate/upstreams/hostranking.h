#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"

namespace damaskgate::upstreams {

/**
 * Ranks the live hosts for a subject by rendezvous hashing, so that hosts that see the same fleet
 * agree, without a message, on the few of them that may use it.
 */
class HostRanking
{
public:
    /** @param self this host @return whether the hosts differ from those before */
    bool setHosts(const core::HostName &self, std::span<const core::HostName> others);

    /** @return how many hosts are known, this one included; at least 1. */
    std::size_t size() const;

    /** @return how many hosts go before this one for @p subject. */
    std::size_t rankFor(std::uint32_t subject) const;

private:
    std::vector<core::HostName> otherNames;
    std::uint32_t self = 0;
    std::vector<std::uint32_t> others;
};

} // namespace damaskgate::upstreams
