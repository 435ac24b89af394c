#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::balance {

/** Lease of a service that this host holds. */
struct Ownership
{
    std::uint64_t leaseId = 0; //!< differs for each acquisition by any process
    core::Instant since;
};

/** Tells who owns a service: the host that decides its ejections and cold slots. */
class IServiceOwners
{
public:
    virtual ~IServiceOwners() = default;

    /** @return the ownership of this host, valid at @p now. */
    virtual std::optional<Ownership> ownership(const core::ServiceName &service,
                                               core::Instant now) const = 0;

    /** @return hosts to report to: the probable owner, then its stand-by; this host may be one. */
    virtual std::vector<core::HostName> reportTargets(const core::ServiceName &service) const = 0;
};

} // namespace damaskgate::balance
