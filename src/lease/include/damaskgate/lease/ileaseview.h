#pragma once

#include <optional>
#include <vector>

#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** Read access to the leases of this process. All functions are thread-safe. */
class ILeaseView
{
public:
    virtual ~ILeaseView() = default;

    /**
     * @param now current time of the monotonic clock, read just before this call
     * @return the lease of @p partition if this process holds it at @p now. Each acquisition has
     *         another epoch.
     */
    virtual std::optional<HeldLease> heldLease(PartitionId partition, core::Instant now) const = 0;

    /** @return whether this process holds the lease of @p partition at @p now. */
    bool holds(PartitionId partition, core::Instant now) const
    {
        return this->heldLease(partition, now).has_value();
    }

    /** @return the host that probably holds the lease of @p partition; it may be out of date. */
    virtual std::optional<core::HostName> holderHint(PartitionId partition) const = 0;

    /** @return the best-ranked live hosts for @p partition, in the order of their ranking. */
    virtual std::vector<core::HostName> preferredHosts(PartitionId partition) const = 0;
};

} // namespace damaskgate::lease
