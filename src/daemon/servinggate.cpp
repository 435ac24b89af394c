#include "servinggate.h"

namespace damaskgate::daemon {

ServingGate::ServingGate(const core::IClock &clock) : clock(clock) {}

void ServingGate::setFreshUntil(core::Instant until)
{
    this->freshUntil.store(until);
}

void ServingGate::setOutOfServiceAt(core::Instant time)
{
    this->outOfServiceAt.store(time);
}

core::Result<void> ServingGate::checkServing() const
{
    const core::Instant now = this->clock.now();
    if (now >= this->outOfServiceAt.load()) {
        return core::notRun(core::Reason::Draining, "this host is out of service");
    }
    if (now >= this->freshUntil.load()) {
        return core::notRun(core::Reason::SettingsStale,
                            "this host has lost contact with the platform and most other hosts");
    }
    return {};
}

} // namespace damaskgate::daemon
