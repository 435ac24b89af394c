#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attemptgroup.h"
#include "checkedrequest.h"

namespace damaskgate::entry {

/** Serves one request of a caller: checks, queues and forwards it and sends the response. */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /**
     * @param parser parser that has read the request header
     * @param isClosing whether the caller's connection closes after this request
     */
    Exchange(EntryContext &context, std::shared_ptr<CallerConnection> caller, RequestParser &parser,
             bool isClosing);
    ~Exchange();

    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** Serves the request. @return whether the caller's connection can be reused */
    asio::awaitable<bool> run();

    /** Aborts the request; run() then returns without further waiting. */
    void abort(AbortCause cause);

private:
    using Step = core::Result<void>;

    asio::awaitable<Step> serve();
    bool isWithheldForwarded() const;
    asio::awaitable<Step> forwardWithheld();
    Step check();
    Step authorize();
    void chooseService();
    Step beginOperation();
    asio::awaitable<Step> serveLookup();
    asio::awaitable<Step> admit();
    asio::awaitable<Step> readBody();
    asio::awaitable<Step> forward();
    asio::awaitable<Step> startAttempt(const std::optional<core::Error> &lastError);
    asio::awaitable<void> startSecondAttempt();
    bool mayStartSecondAttempt() const;
    bool isStillPermitted() const;
    std::optional<core::Instant> secondAttemptTime() const;
    bool isFailureWithheld() const;
    void launch(const balance::SlotGrant &grant, std::unique_ptr<SlotGuard> slot,
                bool isSpeculative = false);
    asio::awaitable<ActiveAttempt> nextEnded();
    asio::awaitable<Step> deliver(ActiveAttempt winner);
    asio::awaitable<void> abandonOthers();
    asio::awaitable<core::Result<balance::SlotGrant>> acquire(bool isSpeculative);
    Step recheck();
    void recordResult(const ActiveAttempt &ended);
    void recordBrokenResponse(const ActiveAttempt &ended, balance::Outcome outcome);
    void recordTime(const AttemptResult &result);
    void addTimeAtEndpoints();
    bool mayRetry(const AttemptResult &result);
    bool isRepeatable() const;
    bool canSendAgain() const;
    std::size_t maxAttempts() const;
    void startDeadline();
    balance::Outcome outcomeOf(const ActiveAttempt &ended) const;
    core::Error abortError() const;
    asio::awaitable<bool> refuse(core::Error error);
    void endOperation();
    void report();

    EntryContext &context;
    std::shared_ptr<CallerConnection> caller;
    RequestParser &parser;
    RequestBody body;
    RequestInfo requestInfo;
    Permission permission;
    core::ServiceName service; //!< service that the request is forwarded to
    core::ServiceName grantedService; //!< service of the acquired slot; empty if there is none
    ForwardPlan plan;
    RequestRecord record;
    core::Instant startedAt;
    std::optional<operations::OperationId> operation;
    std::vector<core::EndpointName> failedEndpoints;
    AttemptGroup attempts; //!< those that wait for a response
    std::size_t attemptCount = 0; //!< attempts so far, without unreachable endpoints
    core::Instant secondAttemptAskedAt; //!< when a second attempt was last considered
    core::Instant sentFrom; //!< start of the time at endpoints that is not yet recorded
    core::Instant sentUntil; //!< end of it
    asio::steady_timer deadlineTimer;
    std::function<void()> onAbort; //!< cancels the operation that run() waits for
    AbortCause abortCause = AbortCause::None;
    core::Verdict verdict = core::Verdict::NotRun; //!< combined over all attempts
    std::optional<WithheldResponse> withheld; //!< forwarded if no endpoint does better
    int upstreamStatus = 0;
    bool isResponseStarted = false;
    bool isKeepAlive = false;
};

} // namespace damaskgate::entry
