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

/** A point in this machine's monotonic time. It has no meaning on another machine. */
using Instant = BootClock::time_point;

/** Source of the current time. Tests use ManualClock. */
class IClock
{
public:
    virtual ~IClock() = default;

    virtual Instant now() const = 0;
};

class SystemClock final : public IClock
{
public:
    Instant now() const override;
};

/** Clock for tests: its time changes only by advance(). */
class ManualClock final : public IClock
{
public:
    Instant now() const override;

    void advance(Duration step);

private:
    Instant current { std::chrono::hours(1) };
};

} // namespace damaskgate::core
