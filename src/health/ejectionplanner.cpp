#include "damaskgate/health/ejectionplanner.h"

#include <algorithm>
#include <set>

#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

EjectionPlanner::EjectionPlanner(core::Instant ownedSince)
    : earliestEjection(ownedSince + EjectionUpdateLifetime + ClockDriftMargin)
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
    if (now < this->earliestEjection || !this->floor.isInService(endpoint)) {
        return false;
    }
    const auto known = this->effectiveUntil.find(endpoint);
    const bool isInEffect = known != this->effectiveUntil.end() && now < known->second;
    const std::size_t needed = this->countInEffect(now) + (isInEffect ? 0 : 1);
    if (needed > this->floor.allowedEjections()) {
        return false;
    }
    this->ejected.push_back(endpoint);
    return true;
}

std::size_t EjectionPlanner::countInEffect(core::Instant now) const
{
    std::set<core::EndpointName> inEffect(this->ejected.begin(), this->ejected.end());
    for (const auto &[endpoint, end] : this->effectiveUntil) {
        if (now < end && this->floor.isInService(endpoint)) {
            inEffect.insert(endpoint);
        }
    }
    return inEffect.size();
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
    std::erase_if(this->effectiveUntil, [now](const auto &entry) { return entry.second <= now; });
    for (const core::EndpointName &endpoint : this->ejected) {
        this->effectiveUntil[endpoint] = now + EjectionUpdateLifetime + ClockDriftMargin;
    }
    return this->ejected;
}

} // namespace damaskgate::health
