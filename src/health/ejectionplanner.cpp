#include "damaskgate/health/ejectionplanner.h"

#include <algorithm>
#include <set>

#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

EjectionPlanner::EjectionPlanner(core::Instant ownedSince)
    : firstEjection(ownedSince + EjectionUpdateLifetime + ClockDriftMargin)
{}

void EjectionPlanner::applyFloor(const Floor &newFloor)
{
    this->floor = newFloor;
    std::erase_if(this->ejected,
                  [this](const auto &endpoint) { return !this->floor.isInService(endpoint); });
    if (this->ejected.size() > this->floor.allowedEjections()) {
        this->ejected.resize(this->floor.allowedEjections());
    }
}

bool EjectionPlanner::tryEject(const core::EndpointName &endpoint, core::Instant now)
{
    if (this->isEjected(endpoint)) {
        return true;
    }
    if (now < this->firstEjection || !this->floor.isInService(endpoint)) {
        return false;
    }
    const auto known = this->inForceUntil.find(endpoint);
    const bool isInForce = known != this->inForceUntil.end() && now < known->second;
    const std::size_t needed = this->countInForce(now) + (isInForce ? 0 : 1);
    if (needed > this->floor.allowedEjections()) {
        return false;
    }
    this->ejected.push_back(endpoint);
    return true;
}

std::size_t EjectionPlanner::countInForce(core::Instant now) const
{
    std::set<core::EndpointName> inForce(this->ejected.begin(), this->ejected.end());
    for (const auto &[endpoint, until] : this->inForceUntil) {
        if (now < until && this->floor.isInService(endpoint)) {
            inForce.insert(endpoint);
        }
    }
    return inForce.size();
}

void EjectionPlanner::readmit(const core::EndpointName &endpoint)
{
    std::erase(this->ejected, endpoint);
}

bool EjectionPlanner::isEjected(const core::EndpointName &endpoint) const
{
    return std::ranges::find(this->ejected, endpoint) != this->ejected.end();
}

std::span<const core::EndpointName> EjectionPlanner::publish(core::Instant now)
{
    std::erase_if(this->inForceUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const core::EndpointName &endpoint : this->ejected) {
        this->inForceUntil[endpoint] = now + EjectionUpdateLifetime + ClockDriftMargin;
    }
    return this->ejected;
}

} // namespace damaskgate::health
