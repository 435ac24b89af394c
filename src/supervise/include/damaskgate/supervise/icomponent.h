#pragma once

#include <functional>
#include <string>

#include "damaskgate/core/error.h"

namespace damaskgate::supervise {

/** How a running component ended by itself. */
enum class ExitKind {
    Normal, //!< its work is done
    Failure, //!< it cannot go on
};

/** A component of a process that a Supervisor starts, watches and stops. Used on one thread. */
class IComponent
{
public:
    using ExitHandler = std::function<void(ExitKind kind, const std::string &detail)>;
    using StopHandler = std::function<void()>;

    virtual ~IComponent() = default;

    /**
     * Starts the component, also again after it ended or was stopped.
     *
     * @param onExit called at most once for each start if the component ends by itself; an exit
     * reported after stop() or halt() is ignored
     * @return an error if it could not start, which counts as a failure
     */
    virtual core::Result<void> start(ExitHandler onExit) = 0;

    /**
     * Stops gracefully: takes no new work and finishes what runs.
     *
     * @param done called once when the component is at rest, possibly before this returns
     */
    virtual void stop(StopHandler done) = 0;

    /** Stops at once. Also ends a stop() that is under way. */
    virtual void halt() = 0;
};

} // namespace damaskgate::supervise
