#include "gossipflushschedule.h"

#include <algorithm>
#include <chrono>

namespace damaskgate::fleet {

namespace {

// Items queued within this time are sent in one message.
constexpr std::chrono::milliseconds FlushDelay { 30 };

// Delay of an urgent item at each of the up to four hosts that it passes.
constexpr std::chrono::milliseconds UrgentFlushDelay { 3 };

// Least time between two flushes. Limits the messages of a hub while many urgent items arrive.
constexpr std::chrono::milliseconds MinFlushInterval { 10 };

} // namespace

std::optional<core::Instant> GossipFlushSchedule::onQueued(bool isUrgent, core::Instant now)
{
    core::Instant wanted = now + (isUrgent ? UrgentFlushDelay : FlushDelay);
    if (this->flushedAt) {
        wanted = std::max(wanted, *this->flushedAt + MinFlushInterval);
    }
    if (this->due && *this->due <= wanted) {
        return std::nullopt;
    }
    this->due = wanted;
    return wanted;
}

void GossipFlushSchedule::onFlushed(core::Instant now)
{
    this->due.reset();
    this->flushedAt = now;
}

} // namespace damaskgate::fleet
