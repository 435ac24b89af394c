#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::balance {

/** Ownership of a service by this host, based on a lease. */
struct Ownership
{
    std::uint64_t leaseId = 0; //!< differs for each acquisition of the lease by any process
    core::Instant since;
};

/** Look-up of service owners. The owner decides ejections and allocates cold slots. */
class IServiceOwners
{
public:
    virtual ~IServiceOwners() = default;

    /** @return the ownership that this host holds at @p now; nothing if it is not the owner. */
    virtual std::optional<Ownership> ownership(const core::ServiceName &service,
                                               core::Instant now) const = 0;

    /** @return hosts to report to: the probable owner, then its stand-by. May include this host. */
    virtual std::vector<core::HostName> reportTargets(const core::ServiceName &service) const = 0;
};

} // namespace damaskgate::balance
