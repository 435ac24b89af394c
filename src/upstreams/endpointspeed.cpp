#include "damaskgate/upstreams/endpointspeed.h"

#include <algorithm>
#include <chrono>

namespace damaskgate::upstreams {

namespace {

constexpr int RequestsNeeded = 6;
constexpr double MinSlowness = 0.5;
constexpr double MaxSlowness = 4;

} // namespace

EndpointSpeed::EndpointSpeed(int averagedRequests) : averagedRequests(averagedRequests) {}

void EndpointSpeed::onStay(core::Duration stay)
{
    this->samples = std::min(this->samples + 1, this->averagedRequests);
    this->average += (stay - this->average) / this->samples;
}

double EndpointSpeed::slowness(core::Duration serviceStay) const
{
    if (this->samples < RequestsNeeded || serviceStay <= core::Duration::zero()) {
        return 1;
    }
    using Seconds = std::chrono::duration<double>;
    return std::clamp(Seconds(this->average) / Seconds(serviceStay), MinSlowness, MaxSlowness);
}

core::Duration EndpointSpeed::averageStay() const
{
    return this->average;
}

} // namespace damaskgate::upstreams
