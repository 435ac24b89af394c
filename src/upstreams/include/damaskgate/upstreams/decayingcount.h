#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** Count of events that fades exponentially; with steady events it is their number a second. */
class DecayingCount
{
public:
    void add(core::Instant now);

    /** @return the events a second at @p now. */
    double perSecond(core::Instant now) const;

private:
    double count = 0;
    core::Instant countedAt;
};

} // namespace damaskgate::upstreams
