#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/supervise/icomponent.h"
#include "damaskgate/supervise/ischeduler.h"
#include "damaskgate/supervise/restartpolicy.h"

namespace damaskgate::supervise {

/** Exit code of a process whose root supervisor exceeded its restart limit. */
constexpr int SupervisionExitCode = 70;

struct ChildOptions
{
    RestartRule rule = RestartRule::Permanent;
    /** Longest time for the graceful stop of a child, after which it is halted immediately. */
    core::Duration stopTimeout = std::chrono::seconds(5);
};

struct SupervisorOptions
{
    std::string name; //!< value of the `supervisor` field in events
    Strategy strategy = Strategy::OneForOne;
    RestartLimits limits;
};

/** State of a child for status reports. */
struct ChildStatus
{
    std::string name;
    bool isRunning = false;
    std::uint64_t restarts = 0; //!< since the supervisor was created
};

/**
 * Starts children in order, restarts those that fail, and stops them in reverse order.
 *
 * A supervisor is a component itself, so supervisors form a tree: a supervisor whose restart limit
 * is exceeded halts its children and reports a failure to its parent. The owner of the root ends
 * the process with SupervisionExitCode when the root's exit handler is called.
 */
class Supervisor final : public IComponent
{
public:
    /** @p scheduler, @p clock and @p events must outlive the supervisor. */
    Supervisor(SupervisorOptions options, IScheduler &scheduler, const core::IClock &clock,
               core::IEventSink &events);
    ~Supervisor() override;

    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    /** Adds a child, started after those added before. Call before start(). */
    void addChild(std::string name, std::unique_ptr<IComponent> component,
                  ChildOptions options = {});

    /** Starts all children; if one cannot start, halts those already started and fails. */
    core::Result<void> start(ExitHandler onExit) override;

    /** Stops all children one after another, in reverse order of their start. */
    void stop(StopHandler done) override;

    /** Halts all children, in reverse order of their start. */
    void halt() override;

    std::vector<ChildStatus> status() const;

private:
    struct Child
    {
        std::string name;
        std::unique_ptr<IComponent> component;
        ChildOptions options;
        bool isRunning = false;
        /** Changes with each start, restart, stop and halt. Outdated callbacks are ignored. */
        std::uint64_t runId = 0;
        std::uint64_t restarts = 0;
    };

    core::Result<void> startChild(std::size_t index);
    core::Result<void> startFrom(std::size_t first);
    void haltFrom(std::size_t first);
    void onChildExit(std::size_t index, std::uint64_t runId, ExitKind kind,
                     const std::string &detail);
    void applyPolicy(std::size_t index, ExitKind kind, const std::string &detail);
    void scheduleRestart(std::size_t index, core::Duration delay);
    void restart(std::size_t index);
    void escalate(const std::string &detail);
    void stopNext(std::size_t remaining);
    void finishStop();
    void recordEvent(std::string_view event, const Child &child, std::string_view detail);

    SupervisorOptions options;
    IScheduler &scheduler;
    const core::IClock &clock;
    core::IEventSink &events;
    RestartPolicy policy;
    std::vector<Child> children;
    ExitHandler onExit;
    StopHandler onStopped;
    std::uint64_t generation = 0; //!< incremented by each start, stop and halt
    /** Callbacks hold weak references to it, which expire with the supervisor. */
    std::shared_ptr<bool> aliveFlag;
};

} // namespace damaskgate::supervise
