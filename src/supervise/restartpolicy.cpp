#include "damaskgate/supervise/restartpolicy.h"

#include <algorithm>

namespace damaskgate::supervise {

namespace {

bool causesRestart(RestartRule rule, ExitKind kind)
{
    switch (rule) {
    case RestartRule::Permanent:
        return true;
    case RestartRule::Transient:
        return kind == ExitKind::Failure;
    case RestartRule::Temporary:
        break;
    }
    return false;
}

} // namespace

RestartPolicy::RestartPolicy(RestartLimits limits) : limits(limits) {}

ExitDecision RestartPolicy::onExit(RestartRule rule, ExitKind kind, core::Instant now)
{
    if (!causesRestart(rule, kind)) {
        return { ExitAction::LeaveStopped, {} };
    }
    this->discardRestartsBefore(now - this->limits.period);
    if (this->restarts.size() >= this->limits.maxRestarts) {
        return { ExitAction::Escalate, {} };
    }
    const core::Duration delay = this->nextDelay();
    this->restarts.push_back(now);
    return { ExitAction::Restart, delay };
}

void RestartPolicy::discardRestartsBefore(core::Instant start)
{
    const auto firstKept = std::ranges::find_if(
        this->restarts, [start](core::Instant restart) { return restart > start; });
    this->restarts.erase(this->restarts.begin(), firstKept);
}

core::Duration RestartPolicy::nextDelay() const
{
    core::Duration delay = this->limits.firstBackoff;
    for (std::size_t i = 0; i < this->restarts.size() && delay < this->limits.maxBackoff; ++i) {
        delay *= 2;
    }
    return std::min(delay, this->limits.maxBackoff);
}

} // namespace damaskgate::supervise
