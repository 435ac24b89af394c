#include "exchange.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

#include "headerrules.h"
#include "lookupresponse.h"
#include "refusal.h"
#include "slotguard.h"

namespace damaskgate::entry {

namespace {

constexpr std::size_t MaxEndpointsTried = 5; //!< limit per request, with unreachable endpoints
constexpr std::size_t DefaultMaxAttempts = 3; //!< used by routes without a limit
constexpr std::chrono::seconds DefaultTimeout { 30 }; //!< used by routes without a timeout
constexpr std::chrono::milliseconds DefaultRetryAfter { 1000 };
// Retry-After of a draining host: short, since another host can serve the request immediately.
constexpr std::chrono::milliseconds DrainingRetryAfter { 50 };
constexpr std::string_view ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr std::array IdempotentMethods { http::verb::get, http::verb::head, http::verb::options,
                                         http::verb::put, http::verb::delete_ };

bool isIdempotent(http::verb method)
{
    return std::ranges::find(IdempotentMethods, method) != IdempotentMethods.end();
}

bool isServedBy(const settings::Route &route, const core::ServiceName &service)
{
    const auto isService = [&service](const settings::WeightedService &part) {
        return part.service == service;
    };
    return route.split.empty() ? route.service == service
                               : std::ranges::any_of(route.split, isService);
}

bool isWorthRetrying(const core::Error &error, int status)
{
    return error.verdict == core::Verdict::NotRun && (status == 503 || status == 429);
}

} // namespace

Exchange::Exchange(EntryContext &context, std::shared_ptr<CallerConnection> caller,
                   RequestParser &parser, bool isClosing)
    : context(context), caller(std::move(caller)), parser(parser), body(*this->caller, parser),
      startedAt(context.now()), attempts(context), deadlineTimer(context.ioContext)
{
    this->plan.isClosing = isClosing;
    this->plan.isFailureWithheld = [this] {
        return this->isFailureWithheld();
    };
    ++this->context.exchanges;
}

Exchange::~Exchange()
{
    --this->context.exchanges;
}

asio::awaitable<bool> Exchange::run()
{
    Step served = co_await this->serve();
    this->deadlineTimer.cancel();
    if (!served && this->isWithheldForwarded()) {
        served = co_await this->forwardWithheld();
    }
    this->endOperation();
    co_await this->caller->stopWatch();
    if (!served) {
        this->isKeepAlive = co_await this->refuse(std::move(served.error()));
    }
    this->report();
    co_return this->isKeepAlive &&this->abortCause != AbortCause::Stopped;
}

void Exchange::abort(AbortCause cause)
{
    if (this->abortCause != AbortCause::None) {
        return;
    }
    this->abortCause = cause;
    this->attempts.abort();
    if (this->onAbort) {
        this->onAbort();
    }
}

bool Exchange::isWithheldForwarded() const
{
    const bool isCallerWaiting =
        this->abortCause == AbortCause::None || this->abortCause == AbortCause::DeadlinePassed;
    return this->withheld && isCallerWaiting && !this->isResponseStarted;
}

// An endpoint's error says more than one of this host if no endpoint has done better.
asio::awaitable<Exchange::Step> Exchange::forwardWithheld()
{
    const bool isClosing = this->plan.isClosing || this->context.isKeepAliveDisabled
        || this->context.isDraining || !this->body.isDone();
    const std::string message = makeSizedResponse(
        std::move(this->withheld->fields), this->withheld->body, this->withheld->length, isClosing);
    this->upstreamStatus = this->withheld->status;
    this->isResponseStarted = true;
    const error_code ec = co_await this->caller->write(message);
    this->isKeepAlive = !ec && !isClosing;
    if (ec) {
        co_return tl::unexpected(core::Error { core::Reason::CallerLeft, this->verdict,
                                               "the caller disconnected", std::nullopt });
    }
    co_return Step {};
}

asio::awaitable<Exchange::Step> Exchange::serve()
{
    if (Step checked = this->check(); !checked) {
        co_return checked;
    }
    if (this->permission.route == nullptr) {
        co_return co_await this->serveLookup();
    }
    if (Step begun = this->beginOperation(); !begun) {
        co_return begun;
    }
    this->startDeadline();
    Step step = co_await this->admit();
    if (step) {
        step = co_await this->readBody();
    }
    if (step) {
        step = co_await this->forward();
    }
    co_return step;
}

Exchange::Step Exchange::check()
{
    const auto &header = this->parser.get();
    this->plan.isHead = header.method() == http::verb::head;
    this->plan.callerVersion = header.version();
    auto read = readRequestInfo(header, this->context.options.dialect);
    if (!read) {
        return tl::unexpected(read.error());
    }
    this->requestInfo = std::move(*read);
    this->record.traceId =
        this->requestInfo.traceId.empty() ? this->context.makeTraceId() : this->requestInfo.traceId;
    this->plan.traceId = this->record.traceId;
    if (this->context.isDraining) {
        return core::notRun(core::Reason::Draining, "this host is draining; use another host");
    }
    if (this->requestInfo.target.path == LookupPath && this->requestInfo.method == "GET") {
        return {};
    }
    if (this->requestInfo.target.path.starts_with(OwnPathPrefix)) {
        return core::notRun(core::Reason::RouteUnknown, "no such resource on this host");
    }
    const IServingGate *gate = this->context.dependencies.servingGate;
    if (gate != nullptr) {
        if (Step serving = gate->checkServing(); !serving) {
            return serving;
        }
    }
    return this->authorize();
}

Exchange::Step Exchange::authorize()
{
    auto found = findPermission(this->requestInfo, this->context.routes.current());
    if (!found) {
        return tl::unexpected(found.error());
    }
    this->permission = std::move(*found);
    this->chooseService();
    this->record.route = this->permission.route->name;
    this->record.workspace = this->permission.workspace;
    this->plan.isRepeatable = this->permission.route->isRepeatable;
    const Dialect &dialect = this->context.options.dialect;
    this->plan.head =
        makeForwardedHead(this->parser.get(), this->requestInfo, this->permission, dialect);
    appendField(this->plan.head, dialect.traceField, this->plan.traceId);
    return {};
}

void Exchange::chooseService()
{
    const settings::Route &route = *this->permission.route;
    this->service = route.service;
    if (!route.split.empty()) {
        std::vector<double> weights;
        std::ranges::transform(route.split, std::back_inserter(weights),
                               &settings::WeightedService::weight);
        std::discrete_distribution<std::size_t> pick(weights.begin(), weights.end());
        this->service = route.split[pick(this->context.random)].service;
    }
    this->record.service = this->service;
}

Exchange::Step Exchange::beginOperation()
{
    if (this->permission.route->isRepeatable || this->requestInfo.operationKey.empty()) {
        return {};
    }
    auto begun = this->context.operations.begin(this->requestInfo.operationKey,
                                                this->permission.workspace, this->context.now());
    if (!begun) {
        return tl::unexpected(begun.error());
    }
    this->operation = *begun;
    return {};
}

asio::awaitable<Exchange::Step> Exchange::serveLookup()
{
    core::WorkspaceName workspace;
    const auto index = this->context.routes.current();
    if (!this->requestInfo.key.empty()) {
        const auto found = index->findWorkspace(this->requestInfo.key);
        if (!found) {
            co_return tl::unexpected(found.error());
        }
        workspace = (*found)->name;
    }
    ILookup &lookup = this->context.dependencies.lookup;
    const std::string text =
        toLookupJson(lookup.rankFor(workspace), lookup.timeToLive(),
                     this->context.operations.issueTicket(workspace, this->context.now()));
    this->record.workspace = workspace;
    this->record.status = 200;
    this->isResponseStarted = true;
    const bool isClosing = this->plan.isClosing || !this->body.isDone();
    const std::string response = makeJsonResponse(text, isClosing, false);
    const error_code ec = co_await this->caller->write(response);
    this->isKeepAlive = !ec && !isClosing;
    co_return Step {};
}

asio::awaitable<Exchange::Step> Exchange::admit()
{
    if (this->permission.workspace.isEmpty()) {
        co_return Step {};
    }
    const auto decision = std::make_shared<OneShot<Step>>(this->context.ioContext.get_executor());
    const core::Instant from = this->context.now();
    this->onAbort = [this, decision] {
        decision->set(tl::unexpected(this->abortError()));
    };
    this->context.dependencies.admission.admit(
        this->permission.workspace, this->plan.deadline,
        [decision](Step admitted) { decision->set(std::move(admitted)); });
    Step admitted = co_await decision->wait();
    this->onAbort = nullptr;
    this->record.admission = this->context.now() - from;
    co_return admitted;
}

asio::awaitable<Exchange::Step> Exchange::readBody()
{
    if (this->body.isPresent()) {
        this->onAbort = [this] {
            this->caller->cancel();
        };
        error_code ec;
        if (this->requestInfo.isExpectingContinue && this->caller->buffer.size() == 0) {
            ec = co_await this->caller->write(ContinueResponse);
        }
        if (!ec) {
            ec = co_await this->body.prefetch();
        }
        this->onAbort = nullptr;
        if (this->abortCause != AbortCause::None) {
            co_return tl::unexpected(this->abortError());
        }
        if (ec) {
            co_return core::notRun(core::Reason::BadRequest,
                                   "the request body is truncated or malformed");
        }
    }
    this->caller->startWatch([weak = this->weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->abort(AbortCause::CallerDisconnected);
        }
    });
    co_return Step {};
}

asio::awaitable<Exchange::Step> Exchange::forward()
{
    this->context.retryBudget().onRequest(this->service);
    std::optional<core::Error> lastError;
    while (true) {
        if (this->attempts.active().empty()) {
            if (Step started = co_await this->startAttempt(lastError); !started) {
                co_return started;
            }
        }
        ActiveAttempt ended = co_await this->nextEnded();
        if (ended.attempt->isReady()) {
            co_return co_await this->deliver(std::move(ended));
        }
        co_await ended.attempt->finish();
        this->recordResult(ended);
        const bool isLast = this->attempts.active().empty();
        if (this->abortCause != AbortCause::None) {
            if (isLast) {
                co_return tl::unexpected(this->abortError());
            }
            continue;
        }
        const AttemptResult &result = ended.attempt->result();
        if (isLast && !this->mayRetry(result)) {
            co_return tl::unexpected(*result.error);
        }
        ended.slot->setRetried();
        lastError = result.error;
        this->failedEndpoints.push_back(ended.endpoint);
    }
}

asio::awaitable<Exchange::Step> Exchange::startAttempt(const std::optional<core::Error> &lastError)
{
    if (Step still = this->recheck(); !still) {
        co_return still;
    }
    const auto grant = co_await this->acquire(false);
    if (!grant) {
        co_return tl::unexpected(lastError.value_or(grant.error()));
    }
    auto slot = std::make_unique<SlotGuard>(this->context.dependencies.balancer, grant->id);
    this->grantedService = this->service;
    Step still = this->recheck();
    this->grantedService = {};
    if (!still) {
        co_return still;
    }
    this->addTimeAtEndpoints();
    this->launch(*grant, std::move(slot));
    co_return Step {};
}

// The first attempt goes on, since its endpoint may be the only one that can respond in time.
asio::awaitable<void> Exchange::startSecondAttempt()
{
    this->secondAttemptAskedAt = this->context.now();
    if (!this->mayStartSecondAttempt()) {
        co_return;
    }
    const auto grant = co_await this->acquire(true);
    if (!grant) {
        co_return;
    }
    auto slot = std::make_unique<SlotGuard>(this->context.dependencies.balancer, grant->id);
    if (this->mayStartSecondAttempt() && this->context.retryBudget().tryConsume(this->service)) {
        this->launch(*grant, std::move(slot), true);
    }
}

bool Exchange::mayStartSecondAttempt() const
{
    const std::span<const ActiveAttempt> active = this->attempts.active();
    const IServingGate *gate = this->context.dependencies.servingGate;
    return this->abortCause == AbortCause::None && active.size() == 1
        && active.front().attempt->isWaiting() && this->body.isDone() && this->isRepeatable()
        && this->canSendAgain() && this->failedEndpoints.size() + 1 < MaxEndpointsTried
        && this->isStillPermitted() && (gate == nullptr || gate->checkServing());
}

// Returns whether settings that have changed since the request was checked say the same of it.
bool Exchange::isStillPermitted() const
{
    const auto index = this->context.routes.current();
    if (index == this->permission.index) {
        return true;
    }
    const auto found = findPermission(this->requestInfo, index);
    const settings::Route &former = *this->permission.route;
    return found && found->workspace == this->permission.workspace
        && found->route->name == former.name && isServedBy(*found->route, this->service)
        && found->route->isRepeatable == former.isRepeatable
        && found->route->isRepeatableByAnyMethod == former.isRepeatableByAnyMethod
        && found->route->maxAttempts == former.maxAttempts;
}

// A second attempt helps only if enough time is left for another endpoint to respond.
std::optional<core::Instant> Exchange::secondAttemptTime() const
{
    const std::span<const ActiveAttempt> active = this->attempts.active();
    if (active.size() != 1 || active.front().lateThreshold <= core::Duration::zero()
        || !this->isRepeatable() || this->attemptCount >= this->maxAttempts()) {
        return std::nullopt;
    }
    const core::Duration lateThreshold = active.front().lateThreshold;
    const core::Instant at =
        std::max(active.front().startedAt, this->secondAttemptAskedAt) + lateThreshold;
    return at + lateThreshold < this->plan.deadline ? std::optional(at) : std::nullopt;
}

bool Exchange::isFailureWithheld() const
{
    const auto mayRespond = [](const ActiveAttempt &active) {
        return !active.attempt->result().error;
    };
    const bool isOnlyOne = std::ranges::count_if(this->attempts.active(), mayRespond) <= 1;
    return !isOnlyOne || (this->isRepeatable() && this->canSendAgain());
}

void Exchange::launch(const balance::SlotGrant &grant, std::unique_ptr<SlotGuard> slot,
                      bool isSpeculative)
{
    ++this->attemptCount;
    this->record.attempts =
        std::max(this->record.attempts, static_cast<std::uint32_t>(this->attemptCount));
    const auto onBroken = [weak = this->weak_from_this()](AbortCause cause) {
        if (const auto self = weak.lock()) {
            self->abort(cause);
        }
    };
    auto attempt =
        std::make_shared<Attempt>(this->context, *this->caller, this->body, this->plan, onBroken);
    this->attempts.start({ std::move(attempt), std::move(slot), grant.endpoint.name,
                           this->context.now(), grant.lateThreshold, isSpeculative },
                         grant.endpoint, this->shared_from_this());
}

// Waits until an attempt has ended. Adds a second one while the response to the first is late.
asio::awaitable<ActiveAttempt> Exchange::nextEnded()
{
    while (true) {
        auto ended = co_await this->attempts.next(this->secondAttemptTime());
        if (ended) {
            co_return std::move(*ended);
        }
        co_await this->startSecondAttempt();
    }
}

asio::awaitable<Exchange::Step> Exchange::deliver(ActiveAttempt winner)
{
    const std::shared_ptr<Attempt> attempt = winner.attempt;
    this->onAbort = [attempt] {
        attempt->abort();
    };
    co_await this->abandonOthers();
    if (attempt->isReady()) {
        co_await attempt->forwardResponse();
    } else {
        co_await attempt->finish();
    }
    this->onAbort = nullptr;
    this->recordResult(winner);
    if (!attempt->result().error) {
        co_return Step {};
    }
    co_return tl::unexpected(this->abortCause == AbortCause::None ? *attempt->result().error
                                                                  : this->abortError());
}

// Waits for the end of the other attempts, since they refer to the parser and the body.
asio::awaitable<void> Exchange::abandonOthers()
{
    this->attempts.abort();
    while (!this->attempts.active().empty()) {
        const auto other = co_await this->attempts.next(std::nullopt);
        co_await other->attempt->finish();
        this->recordResult(*other);
        other->slot->setRetried();
    }
}

asio::awaitable<core::Result<balance::SlotGrant>> Exchange::acquire(bool isSpeculative)
{
    using Grant = core::Result<balance::SlotGrant>;
    if (this->abortCause != AbortCause::None) {
        co_return tl::unexpected(this->abortError());
    }
    const auto decision = std::make_shared<OneShot<Grant>>(this->context.ioContext.get_executor());
    balance::IBalancer &balancer = this->context.dependencies.balancer;
    const settings::Route &route = *this->permission.route;
    const core::Instant from = this->context.now();
    balance::WorkRequest work;
    work.service = this->service;
    work.workspace = this->permission.workspace;
    work.isDeferrable = route.isDeferrable;
    work.deadline = this->plan.deadline;
    work.excluded = this->failedEndpoints;
    std::ranges::transform(this->attempts.active(), std::back_inserter(work.excluded),
                           &ActiveAttempt::endpoint);
    work.traceId = this->record.traceId;
    work.route = route.name;
    work.latencyObjective = route.latencyObjective;
    work.isRetry = this->attemptCount > 0;
    work.isRepeatable = route.isRepeatable;
    work.isSpeculative = isSpeculative;
    work.priority = this->permission.priority;
    if (route.latencyObjective > core::Duration::zero()) {
        work.objectiveAt = this->startedAt + route.latencyObjective;
    }
    const std::uint64_t id =
        balancer.acquire(work, [decision](Grant grant) { decision->set(std::move(grant)); });
    if (isSpeculative && !decision->isSet()) {
        balancer.cancel(id);
        decision->set(core::notRun(core::Reason::NoEndpoint, "no endpoint has a free slot"));
    }
    this->onAbort = [this, &balancer, decision, id] {
        if (!decision->isSet()) {
            balancer.cancel(id);
            decision->set(tl::unexpected(this->abortError()));
        }
    };
    Grant grant = co_await decision->wait();
    this->onAbort = nullptr;
    this->record.queued += this->context.now() - from;
    co_return grant;
}

Exchange::Step Exchange::recheck()
{
    if (this->abortCause != AbortCause::None) {
        return tl::unexpected(this->abortError());
    }
    if (this->context.now() >= this->plan.deadline) {
        return core::notRun(core::Reason::DeadlineExceeded, "the deadline expired in the queue");
    }
    const IServingGate *gate = this->context.dependencies.servingGate;
    if (gate != nullptr) {
        if (Step serving = gate->checkServing(); !serving) {
            return serving;
        }
    }
    const auto index = this->context.routes.current();
    if (index == this->permission.index) {
        return {};
    }
    const Permission former = this->permission;
    const core::ServiceName formerService = this->service;
    if (Step permitted = this->authorize(); !permitted) {
        return permitted;
    }
    if (this->permission.workspace != former.workspace) {
        return core::notRun(core::Reason::KeyUnknown,
                            "the key's workspace changed while the request was queued");
    }
    if (this->verdict != core::Verdict::NotRun && !this->isRepeatable()) {
        return core::mayHaveRun(core::Reason::SettingsStale,
                                "the route no longer allows the request to be repeated");
    }
    if (isServedBy(*this->permission.route, formerService)) {
        this->service = formerService;
        this->record.service = formerService;
        return {};
    }
    return this->grantedService.isEmpty()
        ? Step {}
        : core::notRun(core::Reason::SettingsStale,
                       "the route changed while the request was queued");
}

void Exchange::recordResult(const ActiveAttempt &ended)
{
    const AttemptResult &result = ended.attempt->result();
    balance::ExchangeReport report = result.report;
    report.outcome = this->outcomeOf(ended);
    if (ended.attempt->isAbandoned() && this->abortCause == AbortCause::None) {
        ++this->record.abandonedAttempts;
    }
    ended.slot->setReport(report);
    this->verdict = core::combine(this->verdict, result.verdict);
    this->upstreamStatus = result.status;
    this->isResponseStarted = result.isResponseStarted;
    this->isKeepAlive = result.isKeepAlive;
    if (result.error && result.error->reason == core::Reason::UpstreamUnreachable) {
        --this->attemptCount;
        if (ended.isSpeculative) {
            this->context.retryBudget().restore(this->service);
        }
    }
    if (result.withheld) {
        this->withheld = result.withheld;
    }
    this->recordTime(result);
    this->recordBrokenResponse(ended, report.outcome);
}

void Exchange::recordBrokenResponse(const ActiveAttempt &ended, balance::Outcome outcome)
{
    const AttemptResult &result = ended.attempt->result();
    if (outcome != balance::Outcome::BrokenOff || !result.error) {
        return;
    }
    this->context.dependencies.events.record({ "response-broken",
                                               { { "trace", this->record.traceId },
                                                 { "service", this->service.text() },
                                                 { "endpoint", ended.endpoint.text() },
                                                 { "verdict", core::toText(result.verdict) },
                                                 { "response_started", result.isResponseStarted },
                                                 { "detail", result.error->detail } } });
}

// Time during which several attempts were in progress counts once.
void Exchange::recordTime(const AttemptResult &result)
{
    const core::Duration latency = result.report.latency;
    if (latency > core::Duration::zero()) {
        const bool isFirst = this->sentUntil == core::Instant {};
        this->sentFrom = isFirst ? result.sentAt : std::min(this->sentFrom, result.sentAt);
        this->sentUntil = std::max(this->sentUntil, result.sentAt + latency);
    }
}

void Exchange::addTimeAtEndpoints()
{
    this->record.upstream += this->sentUntil - this->sentFrom;
    this->sentFrom = {};
    this->sentUntil = {};
}

bool Exchange::mayRetry(const AttemptResult &result)
{
    if (result.error->reason == core::Reason::UpstreamUnreachable) {
        // No endpoint received the request, so neither maxAttempts nor the retry budget applies.
        return this->body.isReplayable() && this->failedEndpoints.size() + 1 < MaxEndpointsTried;
    }
    if (result.isResponseStarted || !this->canSendAgain()) {
        return false;
    }
    const Dialect &dialect = this->context.options.dialect;
    const bool isShedSafely = result.error->reason == core::Reason::UpstreamShed
        && (this->permission.route->isRepeatable || this->operation || dialect.isShedSafeToRetry);
    const bool isSafe =
        result.error->verdict == core::Verdict::NotRun ? isShedSafely : this->isRepeatable();
    return isSafe && this->context.retryBudget().tryConsume(this->service);
}

bool Exchange::isRepeatable() const
{
    const settings::Route &route = *this->permission.route;
    return route.isRepeatable
        && (route.isRepeatableByAnyMethod || isIdempotent(this->parser.get().method()));
}

bool Exchange::canSendAgain() const
{
    return this->body.isReplayable() && this->attemptCount < this->maxAttempts()
        && this->context.retryBudget().hasRetry(this->service);
}

std::size_t Exchange::maxAttempts() const
{
    const std::size_t limit = this->permission.route->maxAttempts;
    return limit == 0 ? DefaultMaxAttempts : limit;
}

void Exchange::startDeadline()
{
    core::Duration timeout = this->permission.route->timeout;
    if (timeout <= core::Duration::zero()) {
        timeout = DefaultTimeout;
    }
    if (this->requestInfo.callerDeadline) {
        timeout = std::min<core::Duration>(timeout, *this->requestInfo.callerDeadline);
    }
    this->plan.deadline = this->startedAt + timeout;
    this->deadlineTimer.expires_after(timeout);
    this->deadlineTimer.async_wait([weak = this->weak_from_this()](const error_code &ec) {
        const auto self = weak.lock();
        if (!ec && self) {
            self->abort(AbortCause::DeadlinePassed);
        }
    });
}

// A short deadline set by the caller is no evidence against the endpoint. Only attempts that were
// late or took at least half of the route's timeout are reported as timeouts.
balance::Outcome Exchange::outcomeOf(const ActiveAttempt &ended) const
{
    const AttemptResult &result = ended.attempt->result();
    const bool isRequestAborted = this->abortCause != AbortCause::None;
    if (!result.error || (!isRequestAborted && !ended.attempt->isAbandoned())) {
        return result.report.outcome;
    }
    const bool isLate = this->isRepeatable() && ended.attempt->isAbandoned()
        && ended.lateThreshold > core::Duration::zero()
        && this->context.now() - ended.startedAt >= ended.lateThreshold;
    if (!isRequestAborted) {
        return isLate ? balance::Outcome::Timeout : balance::Outcome::Cancelled;
    }
    const bool isSent = result.report.outcome != balance::Outcome::Cancelled
        && result.verdict != core::Verdict::NotRun;
    const bool isLongWait = result.report.latency >= this->permission.route->timeout / 2;
    const bool isTimeout =
        this->abortCause == AbortCause::DeadlinePassed && isSent && (isLate || isLongWait);
    return isTimeout ? balance::Outcome::Timeout : balance::Outcome::Cancelled;
}

core::Error Exchange::abortError() const
{
    switch (this->abortCause) {
    case AbortCause::BadBody:
        return { core::Reason::BadRequest,
                 this->verdict,
                 "the request body is truncated or malformed",
                 {} };
    case AbortCause::DeadlinePassed:
        if (this->verdict == core::Verdict::NotRun) {
            return { core::Reason::DeadlineExceeded, this->verdict, "the deadline expired", {} };
        }
        return { core::Reason::UpstreamTimeout,
                 this->verdict,
                 "no complete response before the deadline",
                 {} };
    case AbortCause::Stopped:
        return { core::Reason::Draining, this->verdict, "this host is stopping", {} };
    case AbortCause::CallerDisconnected:
    case AbortCause::None:
        break;
    }
    return { core::Reason::CallerLeft, this->verdict, "the caller disconnected", {} };
}

asio::awaitable<bool> Exchange::refuse(core::Error error)
{
    // An error about an earlier run of the operation may have a stronger verdict than the attempts
    // of this request. The stronger one is sent.
    error.verdict = core::combine(error.verdict, this->verdict);
    this->record.reason = error.reason;
    this->record.verdict = error.verdict;
    this->record.detail = error.detail;
    if (this->isResponseStarted) {
        this->caller->close(true);
        co_return false;
    }
    if (this->abortCause == AbortCause::CallerDisconnected
        || this->abortCause == AbortCause::Stopped) {
        co_return false;
    }
    const int status = statusOf(error, this->context.options.dialect);
    if (!error.retryAfter && isWorthRetrying(error, status)) {
        error.retryAfter =
            error.reason == core::Reason::Draining ? DrainingRetryAfter : DefaultRetryAfter;
    }
    std::string host;
    if (error.reason == core::Reason::OperationElsewhere) {
        host = this->context.operations.ownerOf(this->requestInfo.operationKey).text();
    }
    const bool isClosing = this->plan.isClosing || this->context.isKeepAliveDisabled
        || this->context.isDraining || !this->body.isDone();
    const std::string message = toMessage(
        { std::move(error), status, this->record.traceId, host, isClosing, this->plan.isHead },
        this->context.options.dialect);
    this->record.status = status;
    const error_code ec = co_await this->caller->write(message);
    co_return !ec && !isClosing;
}

void Exchange::endOperation()
{
    if (!this->operation) {
        return;
    }
    constexpr std::array Ends {
        std::pair { core::Verdict::NotRun, operations::OperationOutcome::NotRun },
        std::pair { core::Verdict::MayHaveRun, operations::OperationOutcome::MayHaveRun },
        std::pair { core::Verdict::Ran, operations::OperationOutcome::Ran },
    };
    const auto *end =
        std::ranges::find(Ends, this->verdict, [](const auto &item) { return item.first; });
    this->context.operations.end(*this->operation, end->second, this->upstreamStatus);
}

void Exchange::report()
{
    if (this->isResponseStarted && this->permission.route != nullptr) {
        this->record.status = this->upstreamStatus;
        this->record.verdict = core::Verdict::Ran;
    }
    this->record.isCancelled = this->abortCause == AbortCause::CallerDisconnected;
    this->addTimeAtEndpoints();
    const core::Instant now = this->context.now();
    this->record.total = now - this->startedAt;
    this->record.left = std::max(this->plan.deadline - now, core::Duration::zero());
    this->context.dependencies.observer.onRequestFinished(this->record);
    const bool isUncertain = this->record.reason && this->verdict != core::Verdict::NotRun;
    if (!isUncertain) {
        return;
    }
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto total = duration_cast<milliseconds>(this->record.total);
    const auto left = duration_cast<milliseconds>(this->record.left);
    this->context.dependencies.events.record({ "request-failed",
                                               { { "trace", this->record.traceId },
                                                 { "route", this->record.route.text() },
                                                 { "workspace", this->record.workspace.text() },
                                                 { "reason", core::toText(*this->record.reason) },
                                                 { "verdict", core::toText(this->record.verdict) },
                                                 { "attempts", this->record.attempts },
                                                 { "abandoned", this->record.abandonedAttempts },
                                                 { "total_ms", total.count() },
                                                 { "left_ms", left.count() },
                                                 { "draining", this->context.isKeepAliveDisabled },
                                                 { "detail", this->record.detail } } });
}

} // namespace damaskgate::entry
