#pragma once

#include <cstddef>
#include <set>

#include "damaskgate/core/names.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::health {

/**
 * The least number of endpoints of a service that must stay in use.
 *
 * The floor is a fraction (healthyFloor) of all endpoints listed in the settings, whether or not
 * they are in service. Taking a failure domain out of service does not reduce the load, so it
 * reduces the number of endpoints that may be ejected.
 */
class Floor
{
public:
    Floor() = default;
    Floor(const settings::Settings &settings, const settings::Service &service);

    /** @return number of endpoints in service that may be ejected at the same time. */
    std::size_t allowedEjections() const;

    bool isInService(const core::EndpointName &endpoint) const;

    /** @return endpoints in service, i.e. neither they nor their failure domain are taken out. */
    const std::set<core::EndpointName> &inService() const;

private:
    std::size_t required = 0;
    std::set<core::EndpointName> endpoints;
};

} // namespace damaskgate::health
