#pragma once

#include <functional>

#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** Spreads notes over the fleet. A note may be lost or repeated and carries no order. */
class INoteBoard
{
public:
    using Listener = std::function<void(const Note &)>;

    virtual ~INoteBoard() = default;

    /** Sends @p note to all hosts; its origin is filled in. */
    virtual void publish(Note note) = 0;

    /** Calls @p listener for each note of another host; added before the start. */
    virtual void addListener(Listener listener) = 0;
};

} // namespace damaskgate::fleet
