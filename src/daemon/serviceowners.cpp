#include "serviceowners.h"

#include <algorithm>
#include <string>

#include "damaskgate/core/hash.h"

namespace damaskgate::daemon {

namespace {

constexpr std::size_t MaxReportTargets = 2; // the owner and its stand-by

lease::PartitionId partitionOf(const core::ServiceName &service)
{
    return lease::partitionOf("service/" + service.text());
}

} // namespace

ServiceOwners::ServiceOwners(std::uint64_t incarnation, const lease::ILeaseView &leases)
    : incarnation(incarnation), leases(leases)
{}

std::optional<balance::Ownership> ServiceOwners::ownership(const core::ServiceName &service,
                                                           core::Instant now) const
{
    const auto heldLease = this->leases.heldLease(partitionOf(service), now);
    if (!heldLease) {
        return std::nullopt;
    }
    const std::string leaseIdentity = std::to_string(this->incarnation) + '/'
        + std::to_string(heldLease->epoch) + '/' + service.text();
    return balance::Ownership { core::hash64(leaseIdentity), heldLease->acquiredAt };
}

std::vector<core::HostName> ServiceOwners::reportTargets(const core::ServiceName &service) const
{
    const lease::PartitionId partition = partitionOf(service);
    std::vector<core::HostName> targets;
    if (const auto holder = this->leases.holderHint(partition)) {
        targets.push_back(*holder);
    }
    for (const core::HostName &preferred : this->leases.preferredHosts(partition)) {
        const bool isNew = std::ranges::find(targets, preferred) == targets.end();
        if (isNew && targets.size() < MaxReportTargets) {
            targets.push_back(preferred);
        }
    }
    return targets;
}

} // namespace damaskgate::daemon
