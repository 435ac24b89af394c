#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "damaskgate/core/time.h"
#include "damaskgate/supervise/icomponent.h"

namespace damaskgate::supervise {

/** Which exits of a child cause a restart. */
enum class RestartRule {
    Permanent, //!< every exit causes a restart
    Transient, //!< only failures cause a restart
    Temporary, //!< the child is never restarted
};

/** Which children are restarted when one of them ends. */
enum class Strategy {
    OneForOne, //!< only the child that ended
    RestForOne, //!< the child that ended and all children started after it
};

/** Limits of the restarts of a supervisor's children, and the delays before them. */
struct RestartLimits
{
    std::uint32_t maxRestarts = 5; //!< restarts allowed within `period`; one more escalates
    core::Duration period = std::chrono::seconds(30);
    core::Duration firstBackoff = std::chrono::milliseconds(100);
    core::Duration maxBackoff = std::chrono::seconds(5);
};

enum class ExitAction {
    LeaveStopped,
    Restart,
    Escalate, //!< halt all children and report a failure to the parent
};

struct ExitDecision
{
    ExitAction action = ExitAction::LeaveStopped;
    core::Duration delay {}; //!< time to wait before the restart; zero for other actions
};

/**
 * Decides whether a child is restarted after an exit. Uses no clock and no thread: the caller
 * passes the time and performs the restart.
 */
class RestartPolicy
{
public:
    explicit RestartPolicy(RestartLimits limits);

    /**
     * Decides about an exit and counts the restart, if any. The delay doubles with each restart
     * within the period, up to `maxBackoff`.
     *
     * @param rule restart rule of the child that ended
     * @param kind why the child ended
     * @param now current time; must not be earlier than in the previous call
     */
    ExitDecision onExit(RestartRule rule, ExitKind kind, core::Instant now);

private:
    void discardRestartsBefore(core::Instant start);
    core::Duration nextDelay() const;

    RestartLimits limits;
    std::deque<core::Instant> restarts;
};

} // namespace damaskgate::supervise
