#pragma once

#include "damaskgate/core/error.h"

namespace damaskgate::entry {

/** Tells whether this host knows enough to serve, such as which keys are withdrawn. */
class IServingGate
{
public:
    virtual ~IServingGate() = default;

    /**
     * Called on the data thread, on arrival of a request and again before it is forwarded.
     *
     * @return nothing, or SettingsStale with NotRun
     */
    virtual core::Result<void> checkServing() const = 0;
};

} // namespace damaskgate::entry
