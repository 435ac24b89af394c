#pragma once

#include <atomic>

#include "damaskgate/core/time.h"
#include "damaskgate/entry/iservinggate.h"

namespace damaskgate::daemon {

/**
 * Lets requests in while this host can still learn of withdrawn keys and is in service. Written by
 * the control thread, checked by the data thread at every use: a process that was frozen finds the
 * time passed when it wakes.
 */
class ServingGate final : public entry::IServingGate
{
public:
    explicit ServingGate(const core::IClock &clock);

    /** Sets until when what this host knows counts as fresh. */
    void setFreshUntil(core::Instant until);

    /** Sets when this host stops to take new work; Instant::max() while it is in service. */
    void setOutOfServiceAt(core::Instant time);

    core::Result<void> checkServing() const override;

private:
    const core::IClock &clock;
    std::atomic<core::Instant> freshUntil { core::Instant::min() };
    std::atomic<core::Instant> outOfServiceAt { core::Instant::max() };
};

} // namespace damaskgate::daemon
