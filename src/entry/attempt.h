#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/balance/balancetypes.h"
#include "damaskgate/core/error.h"

#include "callerconnection.h"
#include "entrycontext.h"
#include "requestbody.h"
#include "responsehead.h"

namespace damaskgate::entry {

/** Reason for which this host aborted an exchange. */
enum class AbortCause {
    None,
    CallerDisconnected,
    BadBody, //!< the request body is truncated or malformed
    DeadlinePassed,
    Stopped, //!< EntryServer::stop() was called
};

/** Request sent to an endpoint and options for forwarding its response. */
struct ForwardPlan
{
    std::string head; //!< request line and fields, without the fields that each attempt adds
    std::string traceId;
    core::Instant deadline;
    unsigned callerVersion = 11;
    bool isHead = false;
    bool isRepeatable = true;
    bool isFailureDiscarded = false; //!< server errors are retried, not forwarded
    bool isClosing = false; //!< the caller's connection closes after the response
};

/** Outcome of an attempt. */
struct AttemptResult
{
    std::optional<core::Error> error; //!< empty if the complete response was sent to the caller
    balance::ExchangeReport report;
    core::Verdict verdict = core::Verdict::NotRun;
    int status = 0; //!< status of the forwarded response; zero if there was none
    bool isResponseStarted = false; //!< a part of the response was sent to the caller
    bool isKeepAlive = false; //!< the caller's connection can be reused
};

/** One exchange with one endpoint on behalf of one request. */
class Attempt : public std::enable_shared_from_this<Attempt>
{
public:
    using AbortHandler = std::function<void(AbortCause)>;

    Attempt(EntryContext &context, CallerConnection &caller, RequestBody &body,
            const ForwardPlan &plan, AbortHandler onAbort);

    /** Forwards the request to @p endpoint and the response to the caller. */
    asio::awaitable<AttemptResult> run(const settings::Endpoint &endpoint);

    /** @return whether the response header is outstanding and the attempt is not aborted. */
    bool isWaiting() const;

    /** Aborts the exchange; run() then returns without further waiting. */
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
    asio::awaitable<void> discardRest();
    const Dialect &dialect() const;
    asio::awaitable<error_code> receiveResponseHeader();
    std::string_view echoedId() const;
    bool isMatchingResponse() const;
    bool isAttributable() const;
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
    OneShotPtr<bool> bodyStreamEnd; //!< null if no body is streamed
    bool isAborted = false;
    bool isReused = false; //!< the connection has served earlier exchanges
    bool isBodySent = false;
    bool isHeadRead = false; //!< reading the response header has ended
    AttemptResult result;
};

} // namespace damaskgate::entry
