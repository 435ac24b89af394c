#pragma once

#include <functional>
#include <string>

#include "damaskgate/core/error.h"

namespace damaskgate::supervise {

/** Why a running component ended without a call of stop() or halt(). */
enum class ExitKind {
    Normal, //!< the component completed its work
    Failure, //!< the component cannot continue
};

/**
 * A component of a process, started, monitored and stopped by a Supervisor. All calls are made on
 * one thread.
 */
class IComponent
{
public:
    using ExitHandler = std::function<void(ExitKind kind, const std::string &detail)>;
    using StopHandler = std::function<void()>;

    virtual ~IComponent() = default;

    /**
     * Starts the component. May be called again after the component ended or was stopped.
     *
     * @param onExit called at most once for each start, when the component ends by itself; calls
     * after stop() or halt() are ignored
     * @return an error if the component could not start, which counts as a failure
     */
    virtual core::Result<void> start(ExitHandler onExit) = 0;

    /**
     * Stops gracefully: accepts no new work and completes the work in progress.
     *
     * @param done called once when the component has stopped, possibly before this call returns
     */
    virtual void stop(StopHandler done) = 0;

    /** Stops immediately. A stop() in progress ends too. */
    virtual void halt() = 0;
};

} // namespace damaskgate::supervise
