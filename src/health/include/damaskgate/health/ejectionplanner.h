#pragma once

#include <map>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/health/floor.h"

namespace damaskgate::health {

/**
 * Ejections of one service, decided by its owner.
 *
 * Keeps the floor over the union of what all hosts have ejected: an endpoint counts as ejected
 * until the last news that named it has expired on every host, and a new owner ejects nothing
 * until the news of its predecessor have.
 */
class EjectionPlanner
{
public:
    /** @param ownedSince when this host became the owner of the service */
    explicit EjectionPlanner(core::Instant ownedSince);

    /** Takes over the endpoints in service; readmits the latest ejections above the floor. */
    void applyFloor(const Floor &floor);

    /** @return whether @p endpoint is ejected now; false when the floor does not allow it. */
    bool tryEject(const core::EndpointName &endpoint, core::Instant now);

    /** Takes @p endpoint off the list. */
    void readmit(const core::EndpointName &endpoint);

    bool isEjected(const core::EndpointName &endpoint) const;

    /**
     * The list to be sent to a host at @p now.
     *
     * @return the ejected endpoints, the earliest first
     */
    std::span<const core::EndpointName> publish(core::Instant now);

private:
    std::size_t countInForce(core::Instant now) const;

    core::Instant firstEjection; //!< no earlier ejection is allowed
    Floor floor;
    std::vector<core::EndpointName> ejected;
    std::map<core::EndpointName, core::Instant> inForceUntil; //!< on any host
};

} // namespace damaskgate::health
