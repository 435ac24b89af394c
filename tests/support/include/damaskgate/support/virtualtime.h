#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "damaskgate/core/time.h"

namespace damaskgate::support {

/** Event queue of a simulation: runs tasks in the order of their virtual times. */
class VirtualTime
{
public:
    using Task = std::function<void()>;

    /** @return the time since the start of the run. */
    core::Duration now() const
    {
        return this->current;
    }

    void runAt(core::Duration time, Task task)
    {
        this->tasks.push({ std::max(time, this->current), this->counter++, std::move(task) });
    }

    void runAfter(core::Duration delay, Task task)
    {
        this->runAt(this->current + delay, std::move(task));
    }

    /** Runs every task that is due before @p end. */
    void runUntil(core::Duration end)
    {
        while (!this->tasks.empty() && this->tasks.top().time < end) {
            const Entry entry = this->tasks.top();
            this->tasks.pop();
            this->current = entry.time;
            entry.task();
        }
        this->current = end;
    }

private:
    struct Entry
    {
        core::Duration time;
        std::uint64_t order;
        Task task;

        bool operator<(const Entry &other) const
        {
            return std::pair(other.time, other.order) < std::pair(this->time, this->order);
        }
    };

    core::Duration current {};
    std::uint64_t counter = 0;
    std::priority_queue<Entry> tasks;
};

/** Clock of one machine, with its own origin and drift. */
struct MachineClock
{
    core::Instant origin;
    double speed = 1;

    /** @return the clock's reading at virtual time @p time. */
    core::Instant at(core::Duration time) const
    {
        return this->origin + std::chrono::duration_cast<core::Duration>(time * this->speed);
    }
};

} // namespace damaskgate::support
