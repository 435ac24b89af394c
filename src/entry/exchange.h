#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "attempt.h"
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
    Step check();
    Step authorize();
    void chooseService();
    Step beginOperation();
    asio::awaitable<Step> serveLookup();
    asio::awaitable<Step> admit();
    asio::awaitable<Step> readBody();
    asio::awaitable<Step> forward();
    asio::awaitable<core::Result<balance::SlotGrant>> acquire(bool isRetry);
    Step recheck();
    asio::awaitable<AttemptResult> tryEndpoint(const balance::SlotGrant &grant);
    bool mayAbandon(const balance::SlotGrant &grant) const;
    bool mayRetry(const AttemptResult &result, std::size_t attempts);
    bool isRepeatable() const;
    bool canSendAgain(std::size_t attempts) const;
    std::size_t maxAttempts() const;
    void startDeadline();
    void setAbortOutcome(AttemptResult &result) const;
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
    asio::steady_timer deadlineTimer;
    std::function<void()> onAbort; //!< cancels the operation that run() waits for
    AbortCause abortCause = AbortCause::None;
    core::Verdict verdict = core::Verdict::NotRun; //!< combined over all attempts
    int upstreamStatus = 0;
    bool isResponseStarted = false;
    bool isKeepAlive = false;
};

} // namespace damaskgate::entry
