#pragma once

#include <optional>
#include <vector>

#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** Tells which partitions this process holds. Safe to call from any thread. */
class ILeaseView
{
public:
    virtual ~ILeaseView() = default;

    /**
     * @param now read from the monotonic clock just before this call
     * @return the holding that is valid at @p now; a new acquisition has another epoch
     */
    virtual std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const = 0;

    /** @return whether this process holds @p partition at @p now. */
    bool holds(PartitionId partition, core::Instant now) const
    {
        return this->heldLease(partition, now).has_value();
    }

    /** @return the host that probably holds @p partition. */
    virtual std::optional<core::HostName> holderHint(PartitionId partition) const = 0;

    /** @return the live hosts that hold @p partition in the first place, the best first. */
    virtual std::vector<core::HostName> preferredHosts(PartitionId partition) const = 0;
};

} // namespace damaskgate::lease
