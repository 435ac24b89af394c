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
    /** Whether a server error that arrives now is withheld, since another answer may follow. */
    std::function<bool()> isFailureWithheld;
    bool isClosing = false; //!< the caller's connection closes after the response
};

/** A complete response that was not sent to the caller, since another endpoint may respond. */
struct WithheldResponse
{
    int status = 0;
    std::string fields; //!< status line and fields without the framing
    std::string body;
    std::size_t length = 0; //!< length of the body; a response to HEAD has it without a body
};

/** Outcome of an attempt. */
struct AttemptResult
{
    std::optional<WithheldResponse> withheld; //!< set after a server error that was withheld
    std::optional<core::Error> error; //!< empty if the complete response was sent to the caller
    balance::ExchangeReport report;
    core::Instant sentAt; //!< the latency in the report counts from here
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

    /**
     * Sends the request to @p endpoint and waits for a response. Afterwards either the response is
     * ready or the result has an error.
     */
    asio::awaitable<void> awaitResponse(const settings::Endpoint &endpoint);

    /** Forwards the response, which must be ready, to the caller. */
    asio::awaitable<void> forwardResponse();

    /** Ends a body stream and gives up the connection; for a response that is not forwarded. */
    asio::awaitable<void> finish();

    /** @return whether the response header is outstanding; false once it failed or was aborted. */
    bool isWaiting() const;

    /** @return whether awaitResponse() has ended. */
    bool hasEnded() const;

    /** @return whether a response can be forwarded to the caller. */
    bool isReady() const;

    /** @return whether the attempt was aborted while the response header was outstanding. */
    bool isAbandoned() const;

    /** @return the result so far; final when an error is set or the response was forwarded. */
    const AttemptResult &result() const;

    /** Aborts the exchange at any time; the coroutines then return without further waiting. */
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
    /** @param body receives the body; null: it is dropped */
    asio::awaitable<error_code> discardResponse(std::string *body = nullptr);
    asio::awaitable<error_code> discardRest(std::string *body = nullptr);
    asio::awaitable<void> withholdResponse();
    const Dialect &dialect() const;
    std::string_view echoedId() const;
    bool isMatchingResponse() const;
    bool isAttributable() const;
    bool hasRequiredSignature() const;
    bool isTruncated() const;
    asio::awaitable<void> receiveResponse();
    asio::awaitable<void> streamResponse();
    asio::awaitable<void> forwardWhole();
    asio::awaitable<bool> sendResponsePart(std::string_view head, std::string_view part);
    void recordResponse();
    void releaseConnection();
    void fail(core::Reason reason, balance::Outcome outcome, std::string detail);

    EntryContext &context;
    CallerConnection &caller;
    RequestBody &body;
    const ForwardPlan &plan;
    AbortHandler onAbort;

    UpstreamConnectionPtr connection; //!< null before connect() and after finish()
    core::EndpointName endpointName;
    std::optional<ResponseParser> parser;
    std::optional<std::string_view> headFault; //!< see findHeadFault()
    ResponseFraming framing = ResponseFraming::None;
    std::uint64_t exchangeId = 0;
    OneShotPtr<bool> bodyStreamEnd; //!< null if no body is streamed
    bool isAborted = false;
    bool wasWaitingWhenAborted = false;
    bool hasWaitEnded = false; //!< awaitResponse() has ended
    bool isReused = false; //!< the connection has carried responses to earlier exchanges
    bool isBodySent = false;
    bool isHeadRead = false; //!< reading the response header has ended
    AttemptResult currentResult;
};

} // namespace damaskgate::entry
