#pragma once

#include "damaskgate/core/error.h"

namespace damaskgate::entry {

/** Checks whether this host's data, such as the withdrawn keys, is recent enough to serve. */
class IServingGate
{
public:
    virtual ~IServingGate() = default;

    /**
     * Called on the data thread when a request arrives and again before it is forwarded.
     *
     * @return nothing, or SettingsStale with NotRun
     */
    virtual core::Result<void> checkServing() const = 0;
};

} // namespace damaskgate::entry
