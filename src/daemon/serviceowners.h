#pragma once

#include "damaskgate/balance/iserviceowners.h"
#include "damaskgate/lease/ileaseview.h"

namespace damaskgate::daemon {

/**
 * Finds the owner of a service: the host that holds the lease of the service's partition. Safe to
 * call from any thread.
 */
class ServiceOwners final : public balance::IServiceOwners
{
public:
    /**
     * @param incarnation incarnation of this process
     * @param leases must outlive this object
     */
    ServiceOwners(std::uint64_t incarnation, const lease::ILeaseView &leases);

    std::optional<balance::Ownership> ownership(const core::ServiceName &service,
                                                core::Instant now) const override;
    std::vector<core::HostName> reportTargets(const core::ServiceName &service) const override;

private:
    std::uint64_t incarnation;
    const lease::ILeaseView &leases;
};

} // namespace damaskgate::daemon
