#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "damaskgate/core/time.h"
#include "damaskgate/supervise/icomponent.h"

namespace damaskgate::supervise {

/** Which exits of a child are followed by a restart. */
enum class RestartRule {
    Permanent, //!< all
    Transient, //!< failures only
    Temporary, //!< none
};

/** Which children are restarted with the one that ended. */
enum class Strategy {
    OneForOne, //!< no other
    RestForOne, //!< those that were started after it
};

/** Bounds of the restarts that a supervisor makes before it gives up. */
struct RestartLimits
{
    std::uint32_t maxRestarts = 5; //!< within `period`; one more escalates
    core::Duration period = std::chrono::seconds(30);
    core::Duration firstBackoff = std::chrono::milliseconds(100);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

enum class ExitAction {
    LeaveStopped,
    Restart,
    Escalate, //!< stop all children and report a failure to the parent
};

struct ExitDecision
{
    ExitAction action = ExitAction::LeaveStopped;
    core::Duration delay {}; //!< before a restart
};

/** Decides what follows an exit of a child. Knows no clock and no thread. */
class RestartPolicy
{
public:
    explicit RestartPolicy(RestartLimits limits);

    /**
     * Records an exit and decides what follows. The delay doubles with each restart within the
     * period, up to the bound.
     *
     * @param rule of the child that ended
     * @param kind how it ended
     * @param now current time, not before that of an earlier call
     */
    ExitDecision onExit(RestartRule rule, ExitKind kind, core::Instant now);

private:
    void forgetBefore(core::Instant start);
    core::Duration nextDelay() const;

    RestartLimits limits;
    std::deque<core::Instant> restarts;
};

} // namespace damaskgate::supervise
