#include "damaskgate/core/time.h"

#include <ctime>

namespace damaskgate::core {

BootClock::time_point BootClock::now() noexcept
{
    timespec value {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return time_point(std::chrono::seconds(value.tv_sec) + std::chrono::nanoseconds(value.tv_nsec));
}

Instant SystemClock::now() const
{
    return BootClock::now();
}

Instant ManualClock::now() const
{
    return this->current;
}

void ManualClock::advance(Duration step)
{
    this->current += step;
}

} // namespace damaskgate::core
