#include "damaskgate/supervise/supervisor.h"

#include <algorithm>
#include <utility>

namespace damaskgate::supervise {

Supervisor::Supervisor(SupervisorOptions options, IScheduler &scheduler, const core::IClock &clock,
                       core::IEventSink &events)
    : options(std::move(options)), scheduler(scheduler), clock(clock), events(events),
      policy(this->options.limits), aliveFlag(std::make_shared<bool>(true))
{}

Supervisor::~Supervisor()
{
    this->halt();
}

void Supervisor::addChild(std::string name, std::unique_ptr<IComponent> component,
                          ChildOptions options)
{
    this->children.push_back({ std::move(name), std::move(component), options });
}

core::Result<void> Supervisor::start(ExitHandler onExit)
{
    ++this->generation;
    this->policy = RestartPolicy(this->options.limits);
    this->onExit = std::move(onExit);
    core::Result<void> result = this->startFrom(0);
    if (!result) {
        this->halt();
    }
    return result;
}

void Supervisor::stop(StopHandler done)
{
    ++this->generation;
    this->onExit = nullptr;
    this->onStopped = std::move(done);
    this->stopNext(this->children.size());
}

void Supervisor::halt()
{
    ++this->generation;
    this->onExit = nullptr;
    this->haltFrom(0);
    this->finishStop();
}

std::vector<ChildStatus> Supervisor::status() const
{
    std::vector<ChildStatus> result;
    std::ranges::transform(this->children, std::back_inserter(result), [](const Child &child) {
        return ChildStatus { child.name, child.isRunning, child.restarts };
    });
    return result;
}

core::Result<void> Supervisor::startChild(std::size_t index)
{
    Child &child = this->children[index];
    const std::uint64_t runId = ++child.runId;
    child.isRunning = true;
    const std::weak_ptr<bool> alive = this->aliveFlag;
    core::Result<void> result = child.component->start(
        [this, alive, index, runId](ExitKind kind, const std::string &detail) {
            if (!alive.expired()) {
                this->onChildExit(index, runId, kind, detail);
            }
        });
    if (!result) {
        child.isRunning = false;
        this->recordEvent("child-start-failed", child, result.error().detail);
        return result;
    }
    this->recordEvent("child-started", child, {});
    return result;
}

core::Result<void> Supervisor::startFrom(std::size_t first)
{
    for (std::size_t index = first; index < this->children.size(); ++index) {
        if (core::Result<void> result = this->startChild(index); !result) {
            return result;
        }
    }
    return {};
}

void Supervisor::haltFrom(std::size_t first)
{
    const auto end = this->children.rend() - static_cast<std::ptrdiff_t>(first);
    std::for_each(this->children.rbegin(), end, [](Child &child) {
        ++child.runId;
        if (std::exchange(child.isRunning, false)) {
            child.component->halt();
        }
    });
}

void Supervisor::onChildExit(std::size_t index, std::uint64_t runId, ExitKind kind,
                             const std::string &detail)
{
    Child &child = this->children[index];
    if (child.runId != runId || !child.isRunning) {
        return;
    }
    child.isRunning = false;
    this->recordEvent(kind == ExitKind::Failure ? "child-failed" : "child-ended", child, detail);
    // The component may still be executing the function that reported the exit, so the restart is
    // decided in a separate task.
    const std::weak_ptr<bool> alive = this->aliveFlag;
    this->scheduler.runAfter({}, [this, alive, index, runId, kind, detail] {
        if (!alive.expired() && this->children[index].runId == runId) {
            this->applyPolicy(index, kind, detail);
        }
    });
}

void Supervisor::applyPolicy(std::size_t index, ExitKind kind, const std::string &detail)
{
    if (!this->onExit) {
        return;
    }
    const ExitDecision decision =
        this->policy.onExit(this->children[index].options.rule, kind, this->clock.now());
    switch (decision.action) {
    case ExitAction::LeaveStopped:
        break;
    case ExitAction::Restart:
        this->scheduleRestart(index, decision.delay);
        break;
    case ExitAction::Escalate:
        this->escalate(this->children[index].name + ": " + detail);
        break;
    }
}

void Supervisor::scheduleRestart(std::size_t index, core::Duration delay)
{
    if (this->options.strategy == Strategy::RestForOne) {
        this->haltFrom(index + 1);
    }
    const std::uint64_t runId = ++this->children[index].runId;
    const std::uint64_t scheduledGeneration = this->generation;
    const std::weak_ptr<bool> alive = this->aliveFlag;
    this->scheduler.runAfter(delay, [this, alive, index, runId, scheduledGeneration] {
        if (!alive.expired() && this->generation == scheduledGeneration
            && this->children[index].runId == runId) {
            this->restart(index);
        }
    });
}

void Supervisor::restart(std::size_t index)
{
    const bool isOneForOne = this->options.strategy == Strategy::OneForOne;
    const std::size_t end = isOneForOne ? index + 1 : this->children.size();
    for (std::size_t next = index; next < end; ++next) {
        ++this->children[next].restarts;
        if (core::Result<void> result = this->startChild(next); !result) {
            this->applyPolicy(next, ExitKind::Failure, result.error().detail);
            return;
        }
    }
}

void Supervisor::escalate(const std::string &detail)
{
    this->events.record(
        { "supervisor-gave-up", { { "supervisor", this->options.name }, { "detail", detail } } });
    const ExitHandler report = std::exchange(this->onExit, nullptr);
    this->halt();
    if (report) {
        report(ExitKind::Failure, detail);
    }
}

void Supervisor::stopNext(std::size_t remaining)
{
    while (remaining > 0 && !this->children[remaining - 1].isRunning) {
        --remaining;
    }
    if (remaining == 0) {
        this->finishStop();
        return;
    }
    const std::size_t index = remaining - 1;
    Child &child = this->children[index];
    const std::uint64_t runId = ++child.runId;
    const std::weak_ptr<bool> alive = this->aliveFlag;
    const auto onStopped = [this, alive, index, runId](bool isTimeout) {
        if (alive.expired() || this->children[index].runId != runId) {
            return;
        }
        Child &stopped = this->children[index];
        ++stopped.runId;
        stopped.isRunning = false;
        if (isTimeout) {
            this->recordEvent("child-stop-timeout", stopped, {});
            stopped.component->halt();
        }
        this->recordEvent("child-stopped", stopped, {});
        this->stopNext(index);
    };
    this->scheduler.runAfter(child.options.stopTimeout, [onStopped] { onStopped(true); });
    child.component->stop([onStopped] { onStopped(false); });
}

void Supervisor::finishStop()
{
    if (const StopHandler report = std::exchange(this->onStopped, nullptr)) {
        report();
    }
}

void Supervisor::recordEvent(std::string_view event, const Child &child, std::string_view detail)
{
    core::Event record { std::string(event),
                         { { "supervisor", this->options.name }, { "child", child.name } } };
    if (!detail.empty()) {
        record.fields.emplace_back("detail", detail);
    }
    this->events.record(record);
}

} // namespace damaskgate::supervise
