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

/** Exit code of a process whose root supervisor gave up. */
constexpr int SupervisionExitCode = 70;

struct ChildOptions
{
    RestartRule rule = RestartRule::Permanent;
    core::Duration stopTimeout = std::chrono::seconds(5); //!< after it the child is halted
};

struct SupervisorOptions
{
    std::string name; //!< in events
    Strategy strategy = Strategy::OneForOne;
    RestartLimits limits;
};

/** State of a child as operators see it. */
struct ChildStatus
{
    std::string name;
    bool isRunning = false;
    std::uint64_t restarts = 0;
};

/**
 * Starts children in order, restarts those that fail, and stops them in reverse order.
 *
 * A supervisor is a component itself, so supervisors form a tree: one that gives up reports a
 * failure to its parent. The owner of the root ends the process with SupervisionExitCode when the
 * root's exit handler is called.
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

    /** Stops all children one after the other, the last started first. */
    void stop(StopHandler done) override;

    /** Halts all children, the last started first. */
    void halt() override;

    std::vector<ChildStatus> status() const;

private:
    struct Child
    {
        std::string name;
        std::unique_ptr<IComponent> component;
        ChildOptions options;
        bool isRunning = false;
        std::uint64_t run = 0; //!< tells exits of earlier starts from the current one
        std::uint64_t restarts = 0;
    };

    core::Result<void> startChild(std::size_t index);
    core::Result<void> startFrom(std::size_t first);
    void haltFrom(std::size_t first);
    void onChildExit(std::size_t index, std::uint64_t run, ExitKind kind,
                     const std::string &detail);
    void decide(std::size_t index, ExitKind kind, const std::string &detail);
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
    std::uint64_t generation = 0; //!< changes with each start, stop and halt
    std::shared_ptr<bool> aliveFlag; //!< expires with the supervisor, for scheduled tasks
};

} // namespace damaskgate::supervise
