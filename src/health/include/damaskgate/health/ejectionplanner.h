#pragma once

#include <map>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/health/floor.h"

namespace damaskgate::health {

/**
 * List of ejected endpoints of one service, kept by the service's owner.
 *
 * Ejects an endpoint only if the ejections in effect on all hosts together respect the floor. An
 * endpoint counts as ejected until the last update that lists it has expired on every host. A new
 * owner ejects nothing until the updates of its predecessor have expired.
 */
class EjectionPlanner
{
public:
    /** @param ownedSince time at which this host became the owner of the service */
    explicit EjectionPlanner(core::Instant ownedSince);

    /**
     * Replaces the floor. Readmits endpoints that are no longer in service, and then the latest
     * ejections until the new floor allows the rest.
     */
    void applyFloor(const Floor &floor);

    /**
     * Ejects @p endpoint at @p now unless it is out of service, the floor does not allow it, or
     * updates of the previous owner may still be in effect.
     *
     * @return whether @p endpoint is ejected after the call
     */
    bool tryEject(const core::EndpointName &endpoint, core::Instant now);

    /** Removes @p endpoint from the list of ejected endpoints. */
    void readmit(const core::EndpointName &endpoint);

    bool isEjected(const core::EndpointName &endpoint) const;

    /**
     * Records that the list is sent to a host at @p now.
     *
     * @return the ejected endpoints in the order of their ejection, the earliest first
     */
    std::span<const core::EndpointName> publish(core::Instant now);

private:
    std::size_t countInEffect(core::Instant now) const;

    core::Instant earliestEjection; //!< time from which ejections are allowed
    Floor floor;
    std::vector<core::EndpointName> ejected;
    /** Time at which the last update that lists the endpoint has expired on every host. */
    std::map<core::EndpointName, core::Instant> effectiveUntil;
};

} // namespace damaskgate::health
