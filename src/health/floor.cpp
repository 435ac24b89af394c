#include "damaskgate/health/floor.h"

#include <cmath>

namespace damaskgate::health {

namespace {

/** Without it, rounding errors would raise the ceiling: 0.07 * 100 is above 7 in a double. */
constexpr double RoundingMargin = 1e-9;

} // namespace

Floor::Floor(const settings::Settings &settings, const settings::Service &service)
{
    const auto listed = static_cast<double>(service.endpoints.size());
    const double exact = service.healthyFloor * listed;
    this->required = static_cast<std::size_t>(std::ceil(exact - RoundingMargin));
    for (const auto &[name, endpoint] : service.endpoints) {
        if (settings::isInService(settings, endpoint)) {
            this->endpoints.insert(name);
        }
    }
}

std::size_t Floor::allowedEjections() const
{
    return this->endpoints.size() > this->required ? this->endpoints.size() - this->required : 0;
}

bool Floor::isInService(const core::EndpointName &endpoint) const
{
    return this->endpoints.contains(endpoint);
}

const std::set<core::EndpointName> &Floor::inService() const
{
    return this->endpoints;
}

} // namespace damaskgate::health
