#include "damaskgate/balance/balancer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "endpointpicker.h"
#include "servicequeue.h"

namespace damaskgate::balance {

namespace {

constexpr std::chrono::seconds DemandTime { 1 }; //!< after a request, another one is expected
constexpr double HoldSmoothing = 0.05;

std::optional<std::uint64_t> incarnationOf(const ExchangeReport &report)
{
    return report.load ? std::optional(report.load->incarnation) : std::nullopt;
}

} // namespace

struct Balancer::Pool
{
    Pool(const core::ServiceName &name, std::uint64_t firstSequence)
        : name(name), picker(firstSequence)
    {}

    core::ServiceName name;
    ServiceQueue queue;
    EndpointPicker picker;
    core::Duration meanHold {}; //!< of a slot; zero before the first release
    core::Instant demandUntil; //!< until then one more request is expected

    void onReleased(core::Duration hold)
    {
        const bool isFirst = this->meanHold == core::Duration::zero();
        const auto step = std::chrono::duration<double, std::nano>(hold - this->meanHold);
        this->meanHold +=
            isFirst ? hold : std::chrono::duration_cast<core::Duration>(step * HoldSmoothing);
    }

    /** Estimates the wait behind @p ahead requests by Little's law; zero while slots are free. */
    core::Duration estimateWait(std::size_t ahead) const
    {
        const std::uint32_t running = this->picker.inFlight();
        if (this->queue.size() == 0 || running == 0) {
            return core::Duration::zero();
        }
        return this->meanHold * static_cast<std::int64_t>(ahead + 1) / running;
    }
};

Balancer::Balancer(const core::IClock &clock, std::uint64_t seed) : clock(clock), random(seed) {}

Balancer::~Balancer() = default;

void Balancer::applySettings(const settings::SettingsPtr &newSettings)
{
    this->settings = newSettings;
    for (const auto &[name, service] : this->settings->services) {
        std::shared_ptr<Pool> &pool = this->pools[name];
        if (!pool) {
            pool = std::make_shared<Pool>(name, this->random() / 2);
        }
        pool->queue.setLimit(service.queueLimit);
        pool->picker.applySettings(*this->settings, service);
    }
    const auto isRemoved = [this](const Pool &pool) {
        return !this->settings->services.contains(pool.name);
    };
    const auto current = this->pools;
    for (const std::shared_ptr<Pool> &pool : current | std::views::values) {
        if (isRemoved(*pool)) {
            pool->picker.applySettings(*this->settings, settings::Service {});
            this->pools.erase(pool->name);
        }
        this->refuseUnservable(*pool);
        this->serve(*pool);
    }
}

void Balancer::setEjected(const core::ServiceName &service,
                          const std::set<core::EndpointName> &endpoints)
{
    const std::shared_ptr<Pool> pool = this->findPool(service);
    if (!pool) {
        return;
    }
    pool->picker.setEjected(endpoints);
    this->refuseUnservable(*pool);
    this->serve(*pool);
}

void Balancer::setObserver(IExchangeObserver *newObserver)
{
    this->observer = newObserver;
}

void Balancer::tick()
{
    const auto current = this->pools;
    for (const std::shared_ptr<Pool> &pool : current | std::views::values) {
        const auto isLate = [now = this->clock.now()](const WorkRequest &request) {
            return request.deadline <= now;
        };
        for (const std::uint64_t id : pool->queue.removeIf(isLate)) {
            this->refuse(id, core::Reason::DeadlineTooShort, "no slot before the deadline");
        }
        this->serve(*pool);
    }
}

std::uint64_t Balancer::acquire(const WorkRequest &request, Done done)
{
    const std::shared_ptr<Pool> pool = this->findPool(request.service);
    if (!pool) {
        done(core::notRun(core::Reason::NoEndpoint, "unknown service"));
        return 0;
    }
    if (std::optional<core::Error> error = this->refusal(*pool, request)) {
        done(tl::unexpected(*std::move(error)));
        return 0;
    }
    pool->demandUntil = this->clock.now() + DemandTime;
    const std::uint64_t id = ++this->lastId;
    const PushResult pushed = pool->queue.push({ id, request }, this->weight(request.workspace));
    if (!pushed.isAccepted) {
        done(core::notRun(core::Reason::QueueFull, "queue of the service is full"));
        return 0;
    }
    this->waiting.emplace(id, std::move(done));
    this->serviceOf.emplace(id, request.service);
    if (pushed.dropped) {
        this->refuse(*pushed.dropped, core::Reason::QueueFull, "others have waited with less");
    }
    this->serve(*pool);
    return this->waiting.contains(id) ? id : 0;
}

void Balancer::cancel(std::uint64_t requestId)
{
    const auto service = this->serviceOf.find(requestId);
    if (service == this->serviceOf.end()) {
        return;
    }
    if (const std::shared_ptr<Pool> pool = this->findPool(service->second)) {
        pool->queue.remove(requestId);
    }
    this->serviceOf.erase(service);
    this->waiting.erase(requestId);
}

void Balancer::release(std::uint64_t grantId, const ExchangeReport &report)
{
    const auto found = this->held.find(grantId);
    if (found == this->held.end()) {
        return;
    }
    const Held slot = found->second;
    this->held.erase(found);
    if (this->observer != nullptr) {
        this->observer->onEnded(grantId, report, this->clock.now());
    }
    const std::shared_ptr<Pool> pool = this->findPool(slot.service);
    if (!pool) {
        return;
    }
    pool->demandUntil = this->clock.now() + DemandTime;
    pool->onReleased(this->clock.now() - slot.since);
    pool->picker.release(slot.endpoint);
    pool->picker.onOutcome(slot.endpoint, report.outcome, this->clock.now());
    this->learnTemperature(*pool, slot.endpoint, report);
    this->serve(*pool);
}

void Balancer::learnTemperature(Pool &pool, const core::EndpointName &endpoint,
                                const ExchangeReport &report)
{
    if (report.outcome == Outcome::ConnectFailed || report.outcome == Outcome::BrokenOff) {
        pool.picker.coldLease().onConnectionLost(endpoint);
        return;
    }
    const bool isAnswer =
        report.outcome == Outcome::Answered || report.outcome == Outcome::ServerError;
    if (isAnswer || report.load) {
        pool.picker.coldLease().onAnswer(endpoint, incarnationOf(report), this->clock.now());
    }
}

void Balancer::onConnectionLost(const core::ServiceName &service,
                                const core::EndpointName &endpoint)
{
    if (const std::shared_ptr<Pool> pool = this->findPool(service)) {
        pool->picker.coldLease().onConnectionLost(endpoint);
    }
}

std::vector<SlotRequest> Balancer::makeSlotRequests()
{
    std::vector<SlotRequest> requests;
    for (const std::shared_ptr<Pool> &pool : this->pools | std::views::values) {
        const auto waitingCount = static_cast<std::uint32_t>(pool->queue.size());
        const std::uint32_t expected = this->clock.now() < pool->demandUntil ? 1 : 0;
        const auto counts = [&pool, waitingCount, expected](const core::EndpointName &endpoint) {
            const std::uint32_t running = pool->picker.inFlight(endpoint);
            const std::uint32_t wanted =
                std::min(running + waitingCount + expected, pool->picker.slotsPerEndpoint());
            return ColdLease::Counts { running, wanted };
        };
        std::ranges::move(
            pool->picker.coldLease().makeRequests(pool->name, this->clock.now(), counts),
            std::back_inserter(requests));
    }
    return requests;
}

void Balancer::onSlotReply(const SlotReply &answer)
{
    const std::shared_ptr<Pool> pool = this->findPool(answer.service);
    if (!pool) {
        return;
    }
    pool->picker.coldLease().onAnswer(answer, this->clock.now());
    this->serve(*pool);
}

std::size_t Balancer::queued(const core::ServiceName &service) const
{
    const std::shared_ptr<Pool> pool = this->findPool(service);
    return pool ? pool->queue.size() : 0;
}

std::uint32_t Balancer::inFlight(const core::ServiceName &service,
                                 const core::EndpointName &endpoint) const
{
    const std::shared_ptr<Pool> pool = this->findPool(service);
    return pool ? pool->picker.inFlight(endpoint) : 0;
}

std::shared_ptr<Balancer::Pool> Balancer::findPool(const core::ServiceName &service) const
{
    const auto found = this->pools.find(service);
    return found == this->pools.end() ? nullptr : found->second;
}

std::uint32_t Balancer::weight(const core::WorkspaceName &workspace) const
{
    const auto found = this->settings->workspaces.find(workspace);
    return found == this->settings->workspaces.end() ? 1 : found->second.weight;
}

std::optional<core::Error> Balancer::refusal(const Pool &pool, const WorkRequest &request) const
{
    if (!pool.picker.hasCandidate(request.excluded)) {
        return core::Error {
            core::Reason::NoEndpoint, core::Verdict::NotRun, "no endpoint in use", {}
        };
    }
    const std::size_t ahead = pool.queue.countAhead(request, this->weight(request.workspace));
    if (this->clock.now() + pool.estimateWait(ahead) >= request.deadline) {
        return core::Error {
            core::Reason::DeadlineTooShort, core::Verdict::NotRun, "wait exceeds the deadline", {}
        };
    }
    return std::nullopt;
}

void Balancer::refuse(std::uint64_t requestId, core::Reason reason, const char *detail)
{
    const auto found = this->waiting.find(requestId);
    if (found == this->waiting.end()) {
        return;
    }
    const Done done = std::move(found->second);
    this->waiting.erase(found);
    this->serviceOf.erase(requestId);
    done(core::notRun(reason, detail));
}

void Balancer::refuseUnservable(Pool &pool)
{
    const auto isUnservable = [&pool](const WorkRequest &request) {
        return !pool.picker.hasCandidate(request.excluded);
    };
    for (const std::uint64_t id : pool.queue.removeIf(isUnservable)) {
        this->refuse(id, core::Reason::NoEndpoint, "no endpoint in use");
    }
}

void Balancer::serve(Pool &pool)
{
    while (pool.queue.size() > 0) {
        std::optional<core::EndpointName> endpoint;
        const auto isServable = [&](const WorkRequest &request) {
            endpoint = pool.picker.pick(request.excluded, this->clock.now(), this->random);
            return endpoint.has_value();
        };
        const std::optional<QueuedRequest> next = pool.queue.pop(isServable);
        if (!next) {
            return;
        }
        if (next->work.deadline <= this->clock.now()) {
            this->refuse(next->id, core::Reason::DeadlineTooShort, "no slot before the deadline");
            continue;
        }
        this->grant(pool, next->id, *endpoint);
    }
}

void Balancer::grant(Pool &pool, std::uint64_t requestId, const core::EndpointName &endpoint)
{
    const auto found = this->waiting.find(requestId);
    const Done done = std::move(found->second);
    this->waiting.erase(found);
    this->serviceOf.erase(requestId);
    SlotGrant slot { ++this->lastId, pool.name, pool.picker.take(endpoint) };
    this->held.emplace(slot.id, Held { pool.name, endpoint, this->clock.now() });
    if (this->observer != nullptr) {
        const bool isWarm = pool.picker.isWarm(endpoint);
        this->observer->onStarted(slot, isWarm, this->clock.now());
    }
    done(std::move(slot));
}

} // namespace damaskgate::balance
