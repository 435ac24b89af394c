#include "damaskgate/upstreams/fleetbalancer.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "damaskgate/core/hash.h"

namespace damaskgate::upstreams {

namespace {

constexpr std::chrono::milliseconds NoEndpointRetryAfter { 500 }; // an endpoint may register soon
// A full queue is served within ContentionScheduler::MaxWait.
constexpr std::chrono::milliseconds QueueFullRetryAfter { 2000 };
// Gossip items of starts carry the priority plus this; 0: the host does not tell it.
constexpr std::uint32_t FirstPriority = 1;
constexpr std::uint32_t MaxPriority = 65534;

enum class GossipKind : std::uint8_t {
    Started = 1, //!< a host sent the first attempt of a request
    Retried = 2, //!< a host sent a further attempt of a request that an endpoint has received
    Ended = 3, //!< an attempt ended; the amount is the outcome, the account the rate limit
    Refused = 5, //!< a host refused a request; the item's subject is the service
    Redirected = 4, //!< a host sent a further attempt of a request that no endpoint has received
    UncountedEnded = 6, //!< like Ended, but a failure does not count against the service
    Leaving = 7, //!< an endpoint announced that it leaves; the account is its start stamp
    Belief = 8, //!< for a new host: the amount is a fault probability, the account the rate limit
    Departed = 9, //!< for a new host: a registration was removed; the account is its start stamp
    RetryReturned = 10, //!< an attempt that was announced as Retried has reached no endpoint
};

// A response is late after the typical latency times LateLatencyFactor plus LateMargin.
constexpr int LateLatencyFactor = 3;
constexpr std::chrono::milliseconds LateMargin { 50 };

// Of the first attempts that succeed, about one in this many is logged. All others are logged.
constexpr std::uint32_t SampledAttemptsPerLine = 16;
// Rate limits in gossip items: the endpoint announced nothing, or no limit, or a limit, which is
// sent in units of RateUnit requests per second, added to FirstRateLimit.
constexpr std::uint32_t UnknownRateLimit = 0;
constexpr std::uint32_t NoRateLimit = 1;
constexpr std::uint32_t FirstRateLimit = 2;
constexpr double RateUnit = 0.001;
constexpr double MaxRateUnits = 4e9;

// Fault probabilities in gossip items are sent in units of 1 / ProbabilityUnits.
constexpr double ProbabilityUnits = 65535;

std::uint32_t encodeRateLimit(std::optional<double> requestsPerSecond)
{
    if (!requestsPerSecond) {
        return NoRateLimit;
    }
    const double units = std::min(*requestsPerSecond / RateUnit, MaxRateUnits);
    return FirstRateLimit + static_cast<std::uint32_t>(units);
}

std::uint32_t encodeRateLimit(const std::optional<balance::EndpointNotice> &notice)
{
    return notice ? encodeRateLimit(notice->requestsPerSecond) : UnknownRateLimit;
}

// Returns whether a refusal leaves a proper request of a service unserved. A rate limit says
// nothing about the endpoints, but the floor of endpoints in use holds for all unserved requests. A
// key, a malformed request or a host that starts or stops is no matter of the service.
bool isProperRequestUnserved(core::Reason reason)
{
    using core::Reason;
    constexpr std::array Reasons { Reason::QueueFull,    Reason::DeadlineTooShort,
                                   Reason::NoEndpoint,   Reason::DeadlineExceeded,
                                   Reason::UpstreamShed, Reason::UpstreamUnreachable,
                                   Reason::RateLimited };
    return std::ranges::find(Reasons, reason) != Reasons.end();
}

constexpr std::uint16_t LastOutcome = static_cast<std::uint16_t>(balance::Outcome::Cancelled);

} // namespace

FleetBalancer::FleetBalancer(const Dependencies &dependencies, std::uint64_t seed)
    : dependencies(dependencies), scheduler(seed)
{
    this->dependencies.gossip.addListener(
        [this](const fleet::GossipItem &item) { this->onGossipItem(item); });
    this->dependencies.gossip.setSnapshotSource([this] { return this->snapshot(); });
}

void FleetBalancer::applySettings(const settings::Settings &settings)
{
    this->scheduler.applySettings(settings);
}

void FleetBalancer::setWaitListener(std::function<void()> listener)
{
    this->waitListener = std::move(listener);
}

std::uint64_t FleetBalancer::acquire(const balance::WorkRequest &request, Done done)
{
    using Decision = ContentionScheduler::Decision;
    const bool isFirstAttempt = request.excluded.empty() && !request.isSpeculative;
    if (!isFirstAttempt || !this->scheduler.isOrdered(request)) {
        this->start(request, done);
        return 0;
    }
    EndpointSelector &selector = this->dependencies.selector;
    const core::Instant now = this->dependencies.clock.now();
    const Room room = selector.room(request.service, now);
    const std::uint64_t id = ++this->lastRequest;
    const auto [decision, dropped] = this->scheduler.onRequest(
        id, request, selector.typicalLatency(request), { room, selector.hostCount() }, now);
    if (dropped) {
        this->refuseWaiting(*dropped);
    }
    if (decision == Decision::Start) {
        this->start(request, done);
        return 0;
    }
    const bool isFirstToWait = this->waiting.empty();
    this->waiting.emplace(id, std::move(done));
    if (decision == Decision::Refuse) {
        this->refuseWaiting(id);
        return 0;
    }
    if (this->scheduler.waitingCount(request.service) == 1) {
        this->recordWaiting(request.service, room, request.priority);
    }
    if (isFirstToWait && this->waitListener) {
        this->waitListener();
    }
    return id;
}

bool FleetBalancer::tick()
{
    for (const core::ServiceName &service : this->scheduler.waitingServices()) {
        this->serveWaiting(service);
    }
    return !this->waiting.empty();
}

void FleetBalancer::serveWaiting(const core::ServiceName &service)
{
    EndpointSelector &selector = this->dependencies.selector;
    const core::Instant now = this->dependencies.clock.now();
    const auto started = this->scheduler.takeStartable(
        service, { selector.room(service, now), selector.hostCount() }, now);
    for (const balance::QueuedRequest &next : started) {
        const auto found = this->waiting.find(next.id);
        if (found != this->waiting.end()) {
            const Done done = std::move(found->second);
            this->waiting.erase(found);
            this->start(next.work, done);
        }
    }
    if (!started.empty() && this->scheduler.waitingCount(service) == 0) {
        const auto longest = std::chrono::duration_cast<std::chrono::milliseconds>(
            now - std::ranges::min(started, {}, &balance::QueuedRequest::queuedAt).queuedAt);
        this->dependencies.events.record(
            { "requests-started",
              { { "service", service.text() }, { "wait_ms", longest.count() } } });
    }
}

void FleetBalancer::refuseWaiting(std::uint64_t requestId)
{
    const auto found = this->waiting.find(requestId);
    if (found == this->waiting.end()) {
        return;
    }
    const Done done = std::move(found->second);
    this->waiting.erase(found);
    done(tl::unexpected(core::Error { core::Reason::QueueFull, core::Verdict::NotRun,
                                      "too many requests wait for the service",
                                      QueueFullRetryAfter }));
}

void FleetBalancer::recordWaiting(const core::ServiceName &service, const Room &room,
                                  std::uint32_t priority)
{
    const double reserve =
        this->scheduler.reserve(service, priority, this->dependencies.clock.now());
    this->dependencies.events.record({ "requests-waiting",
                                       { { "service", service.text() },
                                         { "priority", priority },
                                         { "free_slots", room.free },
                                         { "slots", room.slots },
                                         { "reserve", reserve } } });
}

void FleetBalancer::start(const balance::WorkRequest &request, const Done &done)
{
    const core::Instant now = this->dependencies.clock.now();
    auto choice = this->dependencies.selector.choose(request, now);
    if (!choice) {
        core::Error error { core::Reason::NoEndpoint, core::Verdict::NotRun,
                            "no endpoint of the service can accept the request",
                            NoEndpointRetryAfter };
        done(tl::unexpected(std::move(error)));
        return;
    }
    const std::uint32_t endpointHash = choice->nameHash;
    choice->grant.id = ++this->lastGrant;
    if (const auto typical = this->dependencies.selector.typicalLatency(request)) {
        choice->grant.lateThreshold = *typical * LateLatencyFactor + LateMargin;
    }
    const std::uint64_t id = choice->grant.id;
    this->activeAttempts.emplace(id, ActiveAttempt { request, *choice });
    this->dependencies.selector.onStarted(endpointHash, 0, now);
    const bool isFurtherAttempt = !request.excluded.empty() || request.isSpeculative;
    const std::uint32_t workspaceHash = isFurtherAttempt || request.workspace.isEmpty()
        ? 0
        : core::nameHash(request.workspace.text());
    const GossipKind kind = request.isRetry ? GossipKind::Retried
        : isFurtherAttempt                  ? GossipKind::Redirected
                                            : GossipKind::Started;
    this->scheduler.onStarted(request.service, request.priority, now);
    const auto priority =
        static_cast<std::uint16_t>(std::min(request.priority, MaxPriority) + FirstPriority);
    this->dependencies.gossip.publish(
        { static_cast<std::uint8_t>(kind), priority, endpointHash, workspaceHash, 0 });
    done(std::move(choice->grant));
}

void FleetBalancer::cancel(std::uint64_t requestId)
{
    this->scheduler.remove(requestId);
    this->waiting.erase(requestId);
}

void FleetBalancer::release(std::uint64_t grantId, const balance::ExchangeReport &report)
{
    const auto found = this->activeAttempts.find(grantId);
    if (found == this->activeAttempts.end()) {
        return;
    }
    const ActiveAttempt attempt = std::move(found->second);
    this->activeAttempts.erase(found);
    const std::uint32_t endpointHash = attempt.choice.nameHash;
    this->recordAttempt(attempt, report);
    if (report.outcome == balance::Outcome::Answered) {
        this->dependencies.selector.onLatency(attempt.request, report.latency);
    }
    if (report.notice) {
        this->onNotice(attempt, *report.notice);
    }
    const balance::Outcome outcome = this->classifyOutcome(attempt, report);
    const bool isFailureCounted = !attempt.choice.isProbe && !report.isRetried;
    this->dependencies.selector.onEnded(endpointHash, 0, outcome, this->dependencies.clock.now(),
                                        isFailureCounted);
    // The other hosts go on to use an endpoint until they know that it fails. Probes tell nothing
    // new.
    const bool isUrgent = isFailure(outcome) && !attempt.choice.isProbe;
    const GossipKind kind = isFailureCounted ? GossipKind::Ended : GossipKind::UncountedEnded;
    this->dependencies.gossip.publish({ static_cast<std::uint8_t>(kind),
                                        static_cast<std::uint16_t>(outcome), endpointHash,
                                        encodeRateLimit(report.notice), 0, isUrgent });
    if (this->scheduler.waitingCount(attempt.request.service) > 0) {
        this->serveWaiting(attempt.request.service);
    }
    if (report.outcome == balance::Outcome::ConnectFailed && attempt.request.isRetry) {
        this->dependencies.gossip.publish(
            { static_cast<std::uint8_t>(GossipKind::RetryReturned), 0, endpointHash, 0, 0 });
    }
}

void FleetBalancer::onNotice(const ActiveAttempt &attempt, const balance::EndpointNotice &notice)
{
    const Choice &choice = attempt.choice;
    if (notice.isLeaving && this->recordLeaving(choice.nameHash, choice.startStamp, "response")) {
        this->dependencies.gossip.publish({ static_cast<std::uint8_t>(GossipKind::Leaving), 0,
                                            choice.nameHash, choice.startStamp, 0, true });
    }
    if (notice.pause) {
        this->dependencies.selector.onPause(choice.nameHash, choice.startStamp, *notice.pause,
                                            this->dependencies.clock.now());
    }
    this->recordRateLimit(choice.nameHash, notice.requestsPerSecond, "response");
}

void FleetBalancer::recordRateLimit(std::uint32_t endpointHash,
                                    std::optional<double> requestsPerSecond,
                                    std::string_view origin)
{
    EndpointSelector &selector = this->dependencies.selector;
    if (!selector.onRateLimit(endpointHash, requestsPerSecond, this->dependencies.clock.now())) {
        return;
    }
    const auto name = selector.nameOf(endpointHash);
    this->dependencies.events.record({ "endpoint-rate-limit",
                                       { { "endpoint", name ? name->text() : std::string() },
                                         { "limited", requestsPerSecond.has_value() },
                                         { "per_s", requestsPerSecond.value_or(0) },
                                         { "from", origin } } });
}

bool FleetBalancer::recordLeaving(std::uint32_t endpointHash, std::uint32_t startStamp,
                                  std::string_view origin)
{
    const auto change = this->dependencies.selector.onLeaving(endpointHash, startStamp,
                                                              this->dependencies.clock.now());
    if (!change) {
        return false;
    }
    this->dependencies.events.record({ "endpoint-changed",
                                       { { "change", toText(change->kind) },
                                         { "service", change->service.text() },
                                         { "endpoint", change->name.text() },
                                         { "revision", change->revision },
                                         { "from", origin } } });
    return true;
}

void FleetBalancer::onRefused(const core::ServiceName &service, core::Reason reason)
{
    if (!isProperRequestUnserved(reason)) {
        return;
    }
    this->dependencies.selector.onRequestRefused(service, this->dependencies.clock.now());
    this->dependencies.gossip.publish({ static_cast<std::uint8_t>(GossipKind::Refused), 0,
                                        core::nameHash(service.text()), 0, 0 });
}

// A timeout is evidence of a fault only if it is much longer than the typical latency; a shorter
// one is treated as cancelled.
balance::Outcome FleetBalancer::classifyOutcome(const ActiveAttempt &attempt,
                                                const balance::ExchangeReport &report) const
{
    if (report.outcome != balance::Outcome::Timeout) {
        return report.outcome;
    }
    const auto typical = this->dependencies.selector.typicalLatency(attempt.request);
    return typical && report.latency > *typical * LateLatencyFactor ? balance::Outcome::Timeout
                                                                    : balance::Outcome::Cancelled;
}

// Successful first attempts are sampled by trace id, so that all hosts record the same traces.
void FleetBalancer::recordAttempt(const ActiveAttempt &attempt,
                                  const balance::ExchangeReport &report)
{
    const bool isLeaving = report.notice && report.notice->isLeaving;
    const bool isSampled = report.outcome == balance::Outcome::Answered
        && attempt.request.excluded.empty() && !isLeaving;
    if (isSampled && core::nameHash(attempt.request.traceId) % SampledAttemptsPerLine != 0) {
        return;
    }
    const auto pause = report.notice
        ? report.notice->pause.value_or(std::chrono::milliseconds::zero())
        : std::chrono::milliseconds::zero();
    const double limitPerSecond = report.notice ? report.notice->requestsPerSecond.value_or(0) : 0;
    const auto latency = std::chrono::duration_cast<std::chrono::milliseconds>(report.latency);
    this->dependencies.events.record({ "attempt-ended",
                                       { { "trace", attempt.request.traceId },
                                         { "service", attempt.choice.grant.service.text() },
                                         { "endpoint", attempt.choice.grant.endpoint.name.text() },
                                         { "outcome", balance::toText(report.outcome) },
                                         { "first_byte_ms", latency.count() },
                                         { "attempt", attempt.request.excluded.size() + 1 },
                                         { "badness", attempt.choice.faultProbability },
                                         { "evidence_age_ms", attempt.choice.evidenceAge.count() },
                                         { "in_flight", attempt.choice.inFlight },
                                         { "leaving", isLeaving },
                                         { "pause_ms", pause.count() },
                                         { "limit_per_s", limitPerSecond },
                                         { "retrial", attempt.choice.isProbe } } });
}

std::vector<fleet::GossipItem> FleetBalancer::snapshot() const
{
    std::vector<fleet::GossipItem> items;
    for (const EndpointBelief &belief :
         this->dependencies.selector.beliefs(this->dependencies.clock.now())) {
        const std::uint32_t rateLimit =
            belief.requestsPerSecond ? encodeRateLimit(belief.requestsPerSecond) : UnknownRateLimit;
        items.push_back({ static_cast<std::uint8_t>(GossipKind::Belief),
                          static_cast<std::uint16_t>(belief.faultProbability * ProbabilityUnits),
                          belief.nameHash, rateLimit, 0 });
        if (belief.isLeaving) {
            items.push_back({ static_cast<std::uint8_t>(GossipKind::Leaving), 0, belief.nameHash,
                              belief.startStamp, 0 });
        }
    }
    for (const Departure &departure :
         this->dependencies.selector.recentDepartures(this->dependencies.clock.now())) {
        items.push_back({ static_cast<std::uint8_t>(GossipKind::Departed), 0, departure.nameHash,
                          departure.startStamp, 0 });
    }
    return items;
}

void FleetBalancer::onGossipItem(const fleet::GossipItem &item)
{
    switch (static_cast<GossipKind>(item.kind)) {
    case GossipKind::Started:
        this->onRemoteStart(item, false);
        return;
    case GossipKind::Retried:
        this->onRemoteStart(item, true);
        return;
    case GossipKind::Refused:
        this->onRemoteRefusal(item.subject);
        return;
    case GossipKind::Redirected:
        this->countRemoteStart(item);
        return;
    case GossipKind::Belief:
        this->onRemoteBelief(item);
        return;
    case GossipKind::Leaving:
        this->recordLeaving(item.subject, item.account, "gossip");
        return;
    case GossipKind::Departed:
        this->dependencies.selector.onDeparture({ item.subject, item.account },
                                                this->dependencies.clock.now());
        return;
    case GossipKind::Ended:
    case GossipKind::UncountedEnded:
        this->onRemoteEnd(item);
        return;
    case GossipKind::RetryReturned:
        if (const auto service = this->dependencies.selector.serviceOf(item.subject)) {
            this->dependencies.retries.restore(*service);
        }
        return;
    }
}

void FleetBalancer::onRemoteBelief(const fleet::GossipItem &item)
{
    EndpointSelector &selector = this->dependencies.selector;
    const double faultProbability = item.amount / ProbabilityUnits;
    if (selector.onBelief(item.subject, faultProbability, this->dependencies.clock.now())) {
        const auto name = selector.nameOf(item.subject);
        this->dependencies.events.record({ "endpoint-belief-adopted",
                                           { { "endpoint", name ? name->text() : std::string() },
                                             { "badness", faultProbability } } });
    }
    this->applyRateLimit(item);
}

void FleetBalancer::onRemoteEnd(const fleet::GossipItem &item)
{
    if (item.amount <= LastOutcome) {
        this->dependencies.selector.onEnded(
            item.subject, item.origin, static_cast<balance::Outcome>(item.amount),
            this->dependencies.clock.now(),
            static_cast<GossipKind>(item.kind) == GossipKind::Ended);
    }
    this->applyRateLimit(item);
}

void FleetBalancer::applyRateLimit(const fleet::GossipItem &item)
{
    if (item.account == NoRateLimit) {
        this->recordRateLimit(item.subject, std::nullopt, "gossip");
    } else if (item.account >= FirstRateLimit) {
        this->recordRateLimit(item.subject, (item.account - FirstRateLimit) * RateUnit, "gossip");
    }
}

void FleetBalancer::onRemoteRefusal(std::uint32_t serviceHash)
{
    const auto service = this->dependencies.selector.findService(serviceHash);
    if (service) {
        this->dependencies.selector.onRequestRefused(*service, this->dependencies.clock.now());
    }
}

std::optional<core::ServiceName> FleetBalancer::countRemoteStart(const fleet::GossipItem &item)
{
    const core::Instant now = this->dependencies.clock.now();
    this->dependencies.selector.onStarted(item.subject, item.origin, now);
    auto service = this->dependencies.selector.serviceOf(item.subject);
    if (service && item.amount >= FirstPriority) {
        this->scheduler.onStarted(*service, item.amount - FirstPriority, now);
    }
    return service;
}

void FleetBalancer::onRemoteStart(const fleet::GossipItem &item, bool isRetry)
{
    if (item.account != 0) {
        this->dependencies.admission.consumeRemote(item.account);
    }
    const auto service = this->countRemoteStart(item);
    if (!service) {
        return;
    }
    if (isRetry) {
        this->dependencies.retries.consumeRemote(*service);
    } else {
        this->dependencies.retries.onRequest(*service);
    }
}

} // namespace damaskgate::upstreams
