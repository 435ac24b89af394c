#pragma once

#include <cstddef>
#include <set>

#include "damaskgate/core/names.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::health {

/**
 * The endpoints of a service that must stay in use.
 *
 * The floor is a fraction of all endpoints listed in the settings: taking a failure domain out of
 * service does not reduce the load, so it leaves less to eject.
 */
class Floor
{
public:
    Floor() = default;
    Floor(const settings::Settings &settings, const settings::Service &service);

    /** @return how many of the endpoints in service may be ejected at the same time. */
    std::size_t allowedEjections() const;

    bool isInService(const core::EndpointName &endpoint) const;

    /** @return endpoints that neither operators nor their failure domain took out. */
    const std::set<core::EndpointName> &inService() const;

private:
    std::size_t required = 0;
    std::set<core::EndpointName> endpoints;
};

} // namespace damaskgate::health
