#include "damaskgate/upstreams/contentionscheduler.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <ranges>
#include <utility>

namespace damaskgate::upstreams {

namespace {

using Seconds = std::chrono::duration<double>;

// Standard deviations of the arrivals in LearningTime that the reserve covers.
constexpr double ReserveDeviations = 2;

// A request of typical latency starts in time for its objective if this many times the latency is
// left.
constexpr int LatencyMargin = 2;

// Part of the time beyond that for which a request waits. The rest is for queues of endpoints.
constexpr double WaitShare = 0.5;

// Returns how many requests of a rate arrive before all hosts know of them, at most but rarely
// more.
double upperCount(double perSecond)
{
    const double expected = perSecond * Seconds(ContentionScheduler::LearningTime).count();
    return expected + ReserveDeviations * std::sqrt(expected);
}

// Returns until when a request may wait.
core::Instant latestStart(const balance::WorkRequest &request,
                          std::optional<core::Duration> typicalLatency, core::Instant now)
{
    const core::Instant latest = now + ContentionScheduler::MaxWait;
    if (!typicalLatency) {
        return latest;
    }
    const core::Instant dueAt = std::min(request.objectiveAt, request.deadline);
    const core::Duration slack = dueAt - now - *typicalLatency * LatencyMargin;
    return std::min(latest, now + std::chrono::duration_cast<core::Duration>(slack * WaitShare));
}

} // namespace

ContentionScheduler::ContentionScheduler(std::uint64_t seed) : random(seed) {}

void ContentionScheduler::applySettings(const settings::Settings &settings)
{
    std::set<std::uint32_t> overrides;
    this->weights.clear();
    for (const auto &[name, workspace] : settings.workspaces) {
        this->weights.emplace(name, workspace.weight);
        if (workspace.priority) {
            overrides.insert(*workspace.priority);
        }
    }
    for (auto &[name, service] : this->services) {
        service.priorities.clear();
    }
    const auto addRoute = [this, &overrides](const core::ServiceName &name,
                                             const settings::Route &route) {
        Service &service = this->services[name];
        service.queue.setLimit(MaxWaiting);
        service.priorities.insert(route.priority);
        if (!route.isOpen) {
            service.priorities.insert(overrides.begin(), overrides.end());
        }
    };
    for (const auto &[name, route] : settings.routes) {
        addRoute(route.service, route);
        for (const settings::WeightedService &part : route.split) {
            addRoute(part.service, route);
        }
    }
    std::erase_if(this->services, [](const auto &item) {
        return item.second.priorities.empty() && item.second.queue.size() == 0;
    });
}

bool ContentionScheduler::isOrdered(const balance::WorkRequest &request) const
{
    const auto found = this->services.find(request.service);
    return found != this->services.end() && found->second.priorities.size() > 1
        && request.priority > *found->second.priorities.begin();
}

void ContentionScheduler::onStarted(const core::ServiceName &service, std::uint32_t priority,
                                    core::Instant now)
{
    const auto found = this->services.find(service);
    if (found == this->services.end() || !found->second.priorities.contains(priority)) {
        return;
    }
    found->second.arrivals[priority].add(now);
}

ContentionScheduler::Admission
ContentionScheduler::onRequest(std::uint64_t id, const balance::WorkRequest &request,
                               std::optional<core::Duration> typicalLatency, const Fleet &fleet,
                               core::Instant now)
{
    Service &service = this->services.at(request.service);
    const core::Instant startBy = latestStart(request, typicalLatency, now);
    if (fleet.room.slots <= 0 || startBy <= now) {
        return { Decision::Start };
    }
    const double excess = fleet.room.free - this->reserve(request.service, request.priority, now);
    const bool isAmple = excess > upperCount(service.arrivals[request.priority].perSecond(now));
    if (service.queue.size() == 0
        && (isAmple || this->tryStart(service, excess, fleet.hostCount, now))) {
        return { Decision::Start };
    }
    const balance::PushResult pushed =
        service.queue.push({ id, request, now, startBy }, this->weightOf(request.workspace));
    return { pushed.isAccepted ? Decision::Wait : Decision::Refuse, pushed.dropped };
}

std::vector<balance::QueuedRequest>
ContentionScheduler::takeStartable(const core::ServiceName &service, const Fleet &fleet,
                                   core::Instant now)
{
    std::vector<balance::QueuedRequest> started;
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return started;
    }
    Service &state = found->second;
    double free = fleet.room.free;
    const auto isStartable = [&](const balance::QueuedRequest &request) {
        if (fleet.room.slots <= 0 || request.startBy <= now) {
            return true;
        }
        const double excess = free - this->reserve(service, request.work.priority, now);
        return this->tryStart(state, excess, fleet.hostCount, now);
    };
    while (auto next = state.queue.pop(now, isStartable)) {
        started.push_back(std::move(*next));
        free -= 1;
    }
    return started;
}

// All hosts see the same free slots, so each takes its part of them in the time in which they learn
// of each other's starts. A part below one slot is a chance of one.
bool ContentionScheduler::tryStart(Service &service, double excess, std::size_t hostCount,
                                   core::Instant now)
{
    const double part = std::max(excess, 0.0) / static_cast<double>(hostCount);
    const auto elapsed = Seconds(std::min(now - service.allowedAt, LearningTime));
    service.allowedAt = now;
    service.allowance =
        std::min(service.allowance + part * (elapsed / Seconds(LearningTime)), part);
    if (service.allowance >= 1) {
        service.allowance -= 1;
        return true;
    }
    std::uniform_real_distribution<double> unit(0, 1);
    const bool isStarted = unit(this->random) < service.allowance;
    service.allowance = 0;
    return isStarted;
}

void ContentionScheduler::remove(std::uint64_t id)
{
    for (auto &[name, service] : this->services) {
        if (service.queue.remove(id)) {
            return;
        }
    }
}

std::vector<core::ServiceName> ContentionScheduler::waitingServices() const
{
    std::vector<core::ServiceName> names;
    for (const auto &[name, service] : this->services) {
        if (service.queue.size() > 0) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t ContentionScheduler::waitingCount(const core::ServiceName &service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? 0 : found->second.queue.size();
}

double ContentionScheduler::reserve(const core::ServiceName &service, std::uint32_t priority,
                                    core::Instant now) const
{
    const auto found = this->services.find(service);
    if (found == this->services.end()) {
        return 0;
    }
    double arrivals = 0;
    for (const auto &[other, counted] : found->second.arrivals) {
        arrivals += other < priority ? counted.perSecond(now) : 0;
    }
    return upperCount(arrivals);
}

std::uint32_t ContentionScheduler::weightOf(const core::WorkspaceName &workspace) const
{
    const auto found = this->weights.find(workspace);
    return found == this->weights.end() ? 1 : found->second;
}

} // namespace damaskgate::upstreams
