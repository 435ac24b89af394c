#include "damaskgate/balance/balancer.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

#include "damaskgate/balance/servicequeue.h"

#include "endpointpicker.h"

namespace damaskgate::balance {

namespace {

constexpr std::chrono::seconds ExpectedDemandTime {
    1
}; //!< time after a request in which another is expected
constexpr double HoldTimeSmoothing = 0.05; //!< weight of the latest hold time in the mean

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
    core::Duration meanHoldTime {}; //!< smoothed hold time of a slot; zero before the first release
    core::Instant demandUntil; //!< one more request is expected until then

    void onReleased(core::Duration hold)
    {
        const bool isFirst = this->meanHoldTime == core::Duration::zero();
        const auto step = std::chrono::duration<double, std::nano>(hold - this->meanHoldTime);
        this->meanHoldTime +=
            isFirst ? hold : std::chrono::duration_cast<core::Duration>(step * HoldTimeSmoothing);
    }

    /**
     * Estimates the wait behind @p ahead requests by Little's law.
     *
     * @return zero if the queue is empty or no request is in flight
     */
    core::Duration estimateWait(std::size_t ahead) const
    {
        const std::uint32_t running = this->picker.inFlight();
        if (this->queue.size() == 0 || running == 0) {
            return core::Duration::zero();
        }
        return this->meanHoldTime * static_cast<std::int64_t>(ahead + 1) / running;
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
            this->refuse(id, core::Reason::DeadlineTooShort,
                         "no slot became free before the deadline");
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
    if (std::optional<core::Error> error = this->findRefusal(*pool, request)) {
        done(tl::unexpected(*std::move(error)));
        return 0;
    }
    pool->demandUntil = this->clock.now() + ExpectedDemandTime;
    const std::uint64_t id = ++this->lastId;
    const PushResult pushed = pool->queue.push({ id, request }, this->weight(request.workspace));
    if (!pushed.isAccepted) {
        done(core::notRun(core::Reason::QueueFull, "queue of the service is full"));
        return 0;
    }
    this->waiting.emplace(id, std::move(done));
    this->serviceOf.emplace(id, request.service);
    if (pushed.dropped) {
        this->refuse(*pushed.dropped, core::Reason::QueueFull,
                     "dropped from the full queue by fair queueing");
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
    const HeldSlot slot = found->second;
    this->held.erase(found);
    if (this->observer != nullptr) {
        this->observer->onEnded(grantId, report, this->clock.now());
    }
    const std::shared_ptr<Pool> pool = this->findPool(slot.service);
    if (!pool) {
        return;
    }
    pool->demandUntil = this->clock.now() + ExpectedDemandTime;
    pool->onReleased(this->clock.now() - slot.since);
    pool->picker.release(slot.endpoint);
    pool->picker.onOutcome(slot.endpoint, report.outcome, this->clock.now());
    this->updateWarmupState(*pool, slot.endpoint, report);
    this->serve(*pool);
}

void Balancer::updateWarmupState(Pool &pool, const core::EndpointName &endpoint,
                                 const ExchangeReport &report)
{
    if (report.outcome == Outcome::ConnectFailed || report.outcome == Outcome::BrokenOff) {
        pool.picker.coldSlotQuotas().onConnectionLost(endpoint);
        return;
    }
    const bool isResponse =
        report.outcome == Outcome::Answered || report.outcome == Outcome::ServerError;
    if (isResponse || report.load) {
        pool.picker.coldSlotQuotas().onResponse(endpoint, incarnationOf(report), this->clock.now());
    }
}

void Balancer::onConnectionLost(const core::ServiceName &service,
                                const core::EndpointName &endpoint)
{
    if (const std::shared_ptr<Pool> pool = this->findPool(service)) {
        pool->picker.coldSlotQuotas().onConnectionLost(endpoint);
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
            return ColdSlotQuotas::Counts { running, wanted };
        };
        std::ranges::move(
            pool->picker.coldSlotQuotas().makeRequests(pool->name, this->clock.now(), counts),
            std::back_inserter(requests));
    }
    return requests;
}

void Balancer::onSlotReply(const SlotReply &reply)
{
    const std::shared_ptr<Pool> pool = this->findPool(reply.service);
    if (!pool) {
        return;
    }
    pool->picker.coldSlotQuotas().onReply(reply, this->clock.now());
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

std::optional<core::Error> Balancer::findRefusal(const Pool &pool, const WorkRequest &request) const
{
    if (!pool.picker.hasCandidate(request.excluded)) {
        return core::Error {
            core::Reason::NoEndpoint, core::Verdict::NotRun, "no usable endpoint", {}
        };
    }
    const std::size_t ahead = pool.queue.countAhead(request, this->weight(request.workspace));
    if (this->clock.now() + pool.estimateWait(ahead) >= request.deadline) {
        return core::Error { core::Reason::DeadlineTooShort,
                             core::Verdict::NotRun,
                             "estimated queue wait exceeds the deadline",
                             {} };
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
        this->refuse(id, core::Reason::NoEndpoint, "no usable endpoint");
    }
}

void Balancer::serve(Pool &pool)
{
    while (pool.queue.size() > 0) {
        std::optional<core::EndpointName> endpoint;
        const auto isServable = [&](const QueuedRequest &request) {
            endpoint = pool.picker.pick(request.work.excluded, this->clock.now(), this->random);
            return endpoint.has_value();
        };
        const std::optional<QueuedRequest> next = pool.queue.pop(this->clock.now(), isServable);
        if (!next) {
            return;
        }
        if (next->work.deadline <= this->clock.now()) {
            this->refuse(next->id, core::Reason::DeadlineTooShort,
                         "no slot became free before the deadline");
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
    SlotGrant slot { ++this->lastId, pool.name, pool.picker.acquire(endpoint) };
    this->held.emplace(slot.id, HeldSlot { pool.name, endpoint, this->clock.now() });
    if (this->observer != nullptr) {
        const bool isWarm = pool.picker.isWarm(endpoint);
        this->observer->onStarted(slot, isWarm, this->clock.now());
    }
    done(std::move(slot));
}

} // namespace damaskgate::balance
