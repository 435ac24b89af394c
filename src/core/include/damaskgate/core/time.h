#pragma once

#include <chrono>

namespace damaskgate::core {

using Duration = std::chrono::nanoseconds;

/** Monotonic clock that also advances while the machine is suspended (CLOCK_BOOTTIME). */
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<BootClock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/** A point on the monotonic time of this machine; never sent to another machine. */
using Instant = BootClock::time_point;

/** Source of the current time, replaced by ManualClock in tests. */
class IClock
{
public:
    virtual ~IClock() = default;

    /** @return the current monotonic time. */
    virtual Instant now() const = 0;
};

class SystemClock final : public IClock
{
public:
    Instant now() const override;
};

/** Virtual time that moves only when told to. */
class ManualClock final : public IClock
{
public:
    Instant now() const override;

    /** Moves the time forward by @p step. */
    void advance(Duration step);

private:
    Instant current { std::chrono::hours(1) };
};

} // namespace damaskgate::core
