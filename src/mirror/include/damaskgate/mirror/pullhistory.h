#pragma once

#include <map>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::mirror {

/**
 * Remembers from which hosts this host cannot pull. Hosts are heard by datagrams, which may pass
 * while connections to the same hosts fail, for instance where packets are lost in one direction. A
 * reader that is heard but cannot be pulled from is no reader for this host. Uses no clock.
 */
class PullHistory
{
public:
    /** Time after a failed pull for which a host counts as not readable, unless a pull succeeds. */
    static constexpr core::Duration FailureMemory = std::chrono::seconds(6);

    void onPulled(const core::HostName &host);

    void onFailed(const core::HostName &host, core::Instant now);

    /** @return whether no pull from @p host has failed lately. */
    bool isReadable(const core::HostName &host, core::Instant now) const;

private:
    std::map<core::HostName, core::Instant> failedAt;
};

} // namespace damaskgate::mirror
