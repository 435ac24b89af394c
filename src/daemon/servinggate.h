#pragma once

#include <atomic>

#include "damaskgate/core/time.h"
#include "damaskgate/entry/iservinggate.h"

namespace damaskgate::daemon {

/**
 * Admits requests while this host is in service and its settings are fresh enough to include
 * withdrawn keys. The control thread sets the time limits; the data thread compares them with the
 * clock at every request, so that a process that was frozen refuses requests as soon as it resumes.
 */
class ServingGate final : public entry::IServingGate
{
public:
    explicit ServingGate(const core::IClock &clock);

    /** Sets the time until which the settings of this host count as fresh. */
    void setFreshUntil(core::Instant until);

    /** Sets the time from which new requests are refused; Instant::max() while in service. */
    void setOutOfServiceAt(core::Instant time);

    core::Result<void> checkServing() const override;

private:
    const core::IClock &clock;
    std::atomic<core::Instant> freshUntil { core::Instant::min() };
    std::atomic<core::Instant> outOfServiceAt { core::Instant::max() };
};

} // namespace damaskgate::daemon
