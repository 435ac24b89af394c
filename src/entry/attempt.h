#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/core/error.h"

#include "callerconnection.h"
#include "entrycontext.h"
#include "requestbody.h"
#include "responsehead.h"

namespace damaskgate::entry {

/** Why an exchange was broken off from this side. */
enum class AbortCause {
    None,
    CallerDisconnected,
    BadBody, //!< the rest of the caller's body is broken
    DeadlinePassed,
    Stopped, //!< the entry closes at once
};

/** What is sent to an endpoint and how its answer is passed on. */
struct ForwardPlan
{
    std::string head; //!< request line and fields, without framing and deadline
    std::string traceId;
    core::Instant deadline;
    unsigned callerVersion = 11;
    bool isHead = false;
    bool isRepeatable = true;
    bool isFailureDiscarded = false; //!< a server error is not delivered but tried elsewhere
    bool isClosing = false; //!< the caller's connection ends with the answer
};

/** What came of an attempt. */
struct AttemptResult
{
    std::optional<core::Error> error; //!< empty when the caller got the whole answer
    balance::ExchangeReport report;
    core::Verdict verdict = core::Verdict::NotRun;
    int status = 0; //!< of the endpoint's answer; zero when there was none
    bool isResponseStarted = false; //!< the caller got a part of the answer
    bool isKeepAlive = false; //!< the caller's connection may carry another request
};

/** One exchange with one endpoint on behalf of one request. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    using AbortHandler = std::function<void(AbortCause)>;

    Attempt(EntryContext &context, CallerConnection &caller, RequestBody &body,
            const ForwardPlan &plan, AbortHandler onAbort);

    /** Forwards the request to @p endpoint and its answer to the caller. */
    asio::awaitable<AttemptResult> run(const settings::Endpoint &endpoint);

    /** @return whether the request was sent and no answer has begun. */
    bool isWaiting() const;

    /** Breaks the exchange off; run() returns soon. */
    void abort();

private:
    asio::awaitable<bool> connect(const asio::ip::tcp::endpoint &remote);
    asio::awaitable<bool> openConnection();
    asio::awaitable<bool> sendRequest();
    void startBodyStream();
    asio::awaitable<void> sendBody();
    asio::awaitable<bool> sendBodyPart(std::string_view part, bool isLast);
    asio::awaitable<void> finishBodyStream();
    asio::awaitable<error_code> readResponseHead();
    asio::awaitable<error_code> readMatchingResponseHead();
    asio::awaitable<error_code> discardResponse();
    const Dialect &dialect() const;
    asio::awaitable<error_code> receiveResponseHeader();
    bool isMatchingResponse() const;
    bool hasRequiredSignature() const;
    asio::awaitable<void> handleResponse();
    asio::awaitable<void> forwardResponse();
    asio::awaitable<bool> sendResponsePart(std::string_view head, std::string_view part);
    void recordResponse();
    void releaseConnection();
    void fail(core::Reason reason, balance::Outcome outcome, std::string detail);

    EntryContext &context;
    CallerConnection &caller;
    RequestBody &body;
    const ForwardPlan &plan;
    AbortHandler onAbort;

    UpstreamConnectionPtr connection;
    core::EndpointName endpointName;
    std::optional<ResponseParser> parser;
    ResponseFraming framing = ResponseFraming::None;
    std::uint64_t exchangeId = 0;
    core::Instant sentAt;
    OneShotPtr<bool> bodyStreamEnd; //!< null while no body is streamed
    bool isAborted = false;
    bool isBodySent = false;
    bool isHeadRead = false; //!< of the answer
    AttemptResult result;
};

} // namespace damaskgate::entry
