#include "damaskgate/settings/freshnessguard.h"

#include <algorithm>

namespace damaskgate::settings {

FreshnessGuard::FreshnessGuard(core::Duration limit) : limit(limit) {}

void FreshnessGuard::onPlatformAnswered(core::Instant sentAt)
{
    this->lastContactAt = std::max(this->lastContactAt, std::optional(sentAt));
}

void FreshnessGuard::onFleetContact(core::Instant probedAt)
{
    this->lastContactAt = std::max(this->lastContactAt, std::optional(probedAt));
}

void FreshnessGuard::setOtherHosts(std::size_t count)
{
    this->otherHosts = count;
}

core::Instant FreshnessGuard::freshUntil() const
{
    if (this->otherHosts == 0U) {
        return core::Instant::max();
    }
    return this->lastContactAt ? *this->lastContactAt + this->limit : core::Instant::min();
}

bool FreshnessGuard::isFresh(core::Instant now) const
{
    return now < this->freshUntil();
}

} // namespace damaskgate::settings
