#include "attempt.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "damaskgate/http/messagereader.h"

#include "headcheck.h"
#include "headerrules.h"

namespace damaskgate::entry {

namespace {

constexpr std::chrono::seconds MaxIdleTime { 15 };
// Endpoints may close connections that are idle for longer. A request that is not repeatable cannot
// be resent when it is lost that way.
constexpr std::chrono::seconds MaxIdleTimeNotRepeatable { 1 };
constexpr std::size_t MaxResponseHeaderBytes = 65536;
constexpr int MaxUnmatchedResponses = 2; //!< discarded responses to earlier exchanges
constexpr int MaxInterimResponses = 16;
// Limit of a response that is dropped or kept instead of being forwarded as it arrives.
constexpr std::size_t MaxDiscardedBytes = 65536;
constexpr std::chrono::milliseconds MaxDiscardTime { 100 };
constexpr unsigned MisdirectedStatus = 421;
constexpr unsigned ServerErrorStatus = 500;
constexpr std::string_view LastChunk = "0\r\n\r\n";

using ResponseReader = damaskgate::http::MessageReader<UpstreamStream, ResponseParser>;

std::string chunkHeader(std::size_t size)
{
    std::array<char, 18> text {};
    const auto end = std::to_chars(text.data(), text.data() + text.size(), size, 16).ptr;
    return std::string(text.data(), end) + "\r\n";
}

asio::const_buffer toBuffer(std::string_view text)
{
    return { text.data(), text.size() };
}

// Returns whether the body has a coding other than chunks, which would be removed or left unnamed.
bool hasUnknownCoding(const ResponseParser &parser)
{
    const ResponseHeader &header = parser.get();
    const auto codings = header.count(http::field::transfer_encoding);
    return codings > 1
        || (codings == 1 && !beast::iequals(header[http::field::transfer_encoding], "chunked"));
}

bool isInterim(const ResponseParser &parser)
{
    return parser.get().result_int() / 100 == 1 && parser.get().result_int() != 101;
}

} // namespace

Attempt::Attempt(EntryContext &context, CallerConnection &caller, RequestBody &body,
                 const ForwardPlan &plan, AbortHandler onAbort)
    : context(context), caller(caller), body(body), plan(plan), onAbort(std::move(onAbort)),
      exchangeId(++context.lastExchange)
{}

asio::awaitable<void> Attempt::awaitResponse(const settings::Endpoint &endpoint)
{
    this->endpointName = endpoint.name;
    error_code ec;
    const auto address = asio::ip::make_address(endpoint.address, ec);
    const asio::ip::tcp::endpoint remote(address, endpoint.port);
    if (ec || this->isAborted || !co_await this->connect(remote)) {
        this->fail(core::Reason::UpstreamUnreachable, balance::Outcome::ConnectFailed,
                   "cannot connect to the endpoint");
    } else if (co_await this->sendRequest()) {
        this->startBodyStream();
        co_await this->receiveResponse();
    }
    if (this->currentResult.error) {
        co_await this->finish();
    }
    this->hasWaitEnded = true;
}

asio::awaitable<void> Attempt::forwardResponse()
{
    co_await this->streamResponse();
    co_await this->finish();
}

asio::awaitable<void> Attempt::finish()
{
    co_await this->finishBodyStream();
    this->releaseConnection();
}

bool Attempt::isWaiting() const
{
    return !this->isHeadRead && !this->isAborted && !this->currentResult.error;
}

bool Attempt::hasEnded() const
{
    return this->hasWaitEnded;
}

bool Attempt::isReady() const
{
    return this->hasWaitEnded && !this->currentResult.error;
}

bool Attempt::isAbandoned() const
{
    return this->wasWaitingWhenAborted;
}

const AttemptResult &Attempt::result() const
{
    return this->currentResult;
}

void Attempt::abort()
{
    this->wasWaitingWhenAborted = this->wasWaitingWhenAborted || this->isWaiting();
    this->isAborted = true;
    if (this->connection) {
        this->connection->reset();
    }
    if (this->currentResult.isResponseStarted) {
        this->caller.cancel();
    } else if (this->isReady()) {
        this->currentResult.error =
            core::Error { core::Reason::UpstreamFailed, this->currentResult.verdict,
                          "this host ended the attempt", std::nullopt };
    }
}

asio::awaitable<bool> Attempt::connect(const asio::ip::tcp::endpoint &remote)
{
    const core::Duration maxIdle = this->plan.isRepeatable ? MaxIdleTime : MaxIdleTimeNotRepeatable;
    this->connection = this->context.pool.acquire(remote, this->context.now(), maxIdle);
    if (this->connection) {
        this->isReused = true;
        co_return !this->isAborted;
    }
    this->connection = std::make_shared<UpstreamConnection>(this->context.ioContext.get_executor());
    this->connection->remote = remote;
    const bool isOpen = co_await this->openConnection();
    co_return isOpen && !this->isAborted;
}

asio::awaitable<bool> Attempt::openConnection()
{
    asio::steady_timer timer(this->context.ioContext, this->context.options.connectTimeout);
    timer.async_wait([connection = this->connection](const error_code &ec) {
        if (!ec) {
            connection->close();
        }
    });
    const auto [ec] =
        co_await this->connection->socket.async_connect(this->connection->remote, WithError);
    // The handler of an already expired timer can no longer be cancelled and closes the connection.
    const bool isInTime = timer.cancel() > 0;
    if (ec || !isInTime) {
        co_return false;
    }
    error_code ignored;
    this->connection->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    co_return true;
}

asio::awaitable<bool> Attempt::sendRequest()
{
    using std::chrono::ceil;
    using std::chrono::milliseconds;
    std::string head = this->plan.head;
    const auto remaining = ceil<milliseconds>(this->plan.deadline - this->context.now());
    appendField(head, this->dialect().deadlineField,
                std::to_string(std::max<long long>(remaining.count(), 1)));
    if (!this->dialect().exchangeField.empty()) {
        appendField(head, this->dialect().exchangeField, std::to_string(this->exchangeId));
    }
    if (!this->dialect().expectedEndpointField.empty()) {
        appendField(head, this->dialect().expectedEndpointField, this->endpointName.text());
    }
    head += this->body.framingFields();
    head += "\r\n";

    const std::string_view part = this->body.firstPart();
    const bool isChunk = this->body.isChunked() && !part.empty();
    const std::string chunk = isChunk ? chunkHeader(part.size()) : std::string {};
    this->isBodySent = this->body.isDone();
    const bool isLastChunk = this->body.isChunked() && this->isBodySent;
    const std::array buffers { toBuffer(head), toBuffer(chunk), toBuffer(part),
                               toBuffer(isChunk ? "\r\n" : ""),
                               toBuffer(isLastChunk ? LastChunk : "") };
    this->currentResult.sentAt = this->context.now();
    this->currentResult.verdict = core::Verdict::MayHaveRun;
    const auto [ec, size] = co_await this->connection->stream.write(buffers);
    if (!ec && !this->isAborted) {
        co_return true;
    }
    if (size == 0) {
        this->currentResult.verdict = core::Verdict::NotRun;
        this->fail(core::Reason::UpstreamUnreachable, balance::Outcome::ConnectFailed,
                   "the connection closed before the request was written");
        co_return false;
    }
    // The endpoint may have sent its response and closed early, so the response is still read.
    this->isBodySent = false;
    co_return true;
}

void Attempt::startBodyStream()
{
    if (this->body.isDone()) {
        return;
    }
    this->bodyStreamEnd = std::make_shared<OneShot<bool>>(this->context.ioContext.get_executor());
    asio::co_spawn(
        this->context.ioContext, [self = this->shared_from_this()] { return self->sendBody(); },
        asio::detached);
}

asio::awaitable<void> Attempt::sendBody()
{
    co_await this->caller.stopWatch();
    while (!this->body.isDone() && this->connection->socket.is_open()) {
        const auto [ec, part] = co_await this->body.readNext();
        if (ec && ec != asio::error::operation_aborted) {
            this->onAbort(AbortCause::BadBody);
        }
        const bool isLast = this->body.isDone();
        if (ec || !co_await this->sendBodyPart(part, isLast)) {
            break;
        }
        this->isBodySent = isLast;
    }
    if (this->isBodySent) {
        this->caller.startWatch(
            [onAbort = this->onAbort] { onAbort(AbortCause::CallerDisconnected); });
    }
    this->bodyStreamEnd->set(true);
}

asio::awaitable<bool> Attempt::sendBodyPart(std::string_view part, bool isLast)
{
    const bool isChunked = this->body.isChunked();
    const std::string chunk =
        isChunked && !part.empty() ? chunkHeader(part.size()) : std::string {};
    const std::array buffers { toBuffer(chunk), toBuffer(part),
                               toBuffer(chunk.empty() ? "" : "\r\n"),
                               toBuffer(isChunked && isLast ? LastChunk : "") };
    const auto [ec, size] = co_await this->connection->stream.write(buffers);
    co_return !ec;
}

asio::awaitable<void> Attempt::finishBodyStream()
{
    if (!this->bodyStreamEnd) {
        co_return;
    }
    if (!this->bodyStreamEnd->isSet()) {
        this->connection->reset();
        this->caller.cancel();
    }
    co_await this->bodyStreamEnd->wait();
    this->bodyStreamEnd = nullptr;
}

asio::awaitable<error_code> Attempt::readResponseHead()
{
    for (int interim = 0; interim <= MaxInterimResponses; ++interim) {
        this->parser.emplace();
        this->parser->header_limit(MaxResponseHeaderBytes);
        this->parser->body_limit(boost::none);
        this->parser->skip(this->plan.isHead);
        ResponseReader reader(this->connection->stream, this->connection->buffer, *this->parser);
        const error_code ec = co_await reader.readHead();
        if (ec) {
            co_return ec;
        }
        this->headFault = findHeadFault(this->parser->get(), { reader.rawHead(), this->isReused },
                                        this->dialect());
        if (this->headFault) {
            co_return error_code {};
        }
        if (!isInterim(*this->parser)) {
            this->parser->eager(true);
            co_return error_code {};
        }
    }
    co_return http::error::header_limit;
}

std::string_view Attempt::echoedId() const
{
    const std::string &exchangeField = this->dialect().exchangeField;
    return toView(
        this->parser->get()[exchangeField.empty() ? this->dialect().traceField : exchangeField]);
}

bool Attempt::isMatchingResponse() const
{
    const std::string_view echoed = this->echoedId();
    const bool isTraceEchoed = this->dialect().exchangeField.empty();
    const std::string expected =
        isTraceEchoed ? this->plan.traceId : std::to_string(this->exchangeId);
    return echoed.empty() || echoed == expected;
}

// On a reused connection, a response without an id may be a repetition of an earlier one.
bool Attempt::isAttributable() const
{
    return !this->isReused || !this->echoedId().empty();
}

bool Attempt::hasRequiredSignature() const
{
    const auto &header = this->parser->get();
    const bool isSuccess = header.result_int() / 100 == 2;
    const std::string &field = this->dialect().signatureField;
    return !isSuccess || field.empty() || header.count(field) > 0;
}

// Returns whether a response that ends with its connection can't become whole, after a reset.
bool Attempt::isTruncated() const
{
    return this->parser->need_eof() && this->connection->stream.isBroken();
}

// On a reused connection, a response to an earlier exchange may precede the matching one.
asio::awaitable<error_code> Attempt::readMatchingResponseHead()
{
    error_code ec = co_await this->readResponseHead();
    for (int discarded = 0; !ec && !this->headFault && !this->isMatchingResponse()
         && discarded < MaxUnmatchedResponses;
         ++discarded) {
        ec = co_await this->discardResponse();
        this->isReused = true;
        if (!ec) {
            ec = co_await this->readResponseHead();
        }
    }
    co_return ec;
}

asio::awaitable<error_code> Attempt::discardResponse(std::string *body)
{
    ResponseReader reader(this->connection->stream, this->connection->buffer, *this->parser);
    const auto space = std::make_unique_for_overwrite<char[]>(IoBufferSize);
    std::size_t discarded = 0;
    while (!reader.isDone()) {
        const auto [ec, size] = co_await reader.readSome({ space.get(), IoBufferSize });
        if (ec) {
            co_return ec;
        }
        discarded += size;
        if (body != nullptr) {
            body->append(space.get(), size);
        }
        if (discarded > MaxDiscardedBytes) {
            co_return http::error::body_limit;
        }
    }
    co_return error_code {};
}

// Reads the rest of a response whose outcome is known, so that its connection can be reused.
asio::awaitable<error_code> Attempt::discardRest(std::string *body)
{
    asio::steady_timer timer(this->context.ioContext, MaxDiscardTime);
    timer.async_wait([connection = this->connection](const error_code &ec) {
        if (!ec) {
            connection->reset();
        }
    });
    const error_code ec = co_await this->discardResponse(body);
    // The handler of an already expired timer can no longer be cancelled.
    const bool isInTime = timer.cancel() > 0;
    if (ec || !isInTime) {
        this->connection->reset();
    }
    co_return isInTime ? ec : error_code(asio::error::timed_out);
}

// Keeps a server error while another endpoint may still serve the request.
asio::awaitable<void> Attempt::withholdResponse()
{
    WithheldResponse response;
    response.status = static_cast<int>(this->parser->get().result_int());
    response.fields = makeResponseFields(*this->parser, this->plan.traceId, this->dialect());
    const auto length = this->parser->content_length();
    const error_code ec = co_await this->discardRest(&response.body);
    const bool isComplete = !ec && this->parser->is_done();
    if (isComplete && !this->isAborted) {
        response.length = this->plan.isHead ? length.value_or(0) : response.body.size();
        this->currentResult.withheld = std::move(response);
    }
}

const Dialect &Attempt::dialect() const
{
    return this->context.options.dialect;
}

asio::awaitable<void> Attempt::receiveResponse()
{
    const error_code ec = co_await this->readMatchingResponseHead();
    this->isHeadRead = true;
    this->currentResult.report.latency = this->context.now() - this->currentResult.sentAt;
    if (ec || this->isAborted || this->headFault) {
        this->fail(core::Reason::UpstreamFailed, balance::Outcome::BrokenOff,
                   this->isAborted       ? "this host ended the attempt before a response"
                       : this->headFault ? std::string(*this->headFault)
                                         : "no valid response header: " + ec.message());
        co_return;
    }
    const bool isShedResponse = isShed(this->parser->get(), this->dialect());
    if (!this->isMatchingResponse() || !this->hasRequiredSignature()
        || (isShedResponse && !this->isAttributable()) || hasUnknownCoding(*this->parser)) {
        this->fail(core::Reason::UpstreamFailed, balance::Outcome::BrokenOff,
                   "the endpoint sent a response that is invalid or belongs to another request");
        co_return;
    }
    this->recordResponse();
    if (isShedResponse) {
        this->currentResult.verdict = core::Verdict::NotRun;
        const bool isMisdirected = this->parser->get().result_int() == MisdirectedStatus;
        this->fail(core::Reason::UpstreamShed,
                   isMisdirected ? balance::Outcome::Misdirected : balance::Outcome::Shed,
                   "the endpoint shed the request");
        co_await this->discardRest();
        co_return;
    }
    this->currentResult.verdict = core::Verdict::Ran;
    if (this->parser->get().result_int() >= ServerErrorStatus && this->plan.isFailureWithheld()) {
        this->fail(core::Reason::UpstreamFailed, balance::Outcome::ServerError,
                   "the endpoint returned a server error");
        co_await this->withholdResponse();
        co_return;
    }
    if (this->isTruncated()) {
        this->fail(core::Reason::UpstreamFailed, balance::Outcome::BrokenOff,
                   "the connection was reset before the end of a response without a length");
        co_return;
    }
    this->currentResult.status = static_cast<int>(this->parser->get().result_int());
}

asio::awaitable<void> Attempt::streamResponse()
{
    const bool isHeadOnly = this->plan.isHead;
    this->framing = chooseFraming(*this->parser, isHeadOnly, this->plan.callerVersion);
    if (this->framing == ResponseFraming::UntilClose && !this->body.isDone()) {
        co_await this->forwardWhole();
        co_return;
    }
    const bool isClosing = this->plan.isClosing || this->context.isKeepAliveDisabled
        || this->context.isDraining || !this->body.isDone()
        || this->framing == ResponseFraming::UntilClose;
    std::string head = makeResponseHead(*this->parser, this->framing, this->plan.traceId, isClosing,
                                        this->dialect());

    ResponseReader reader(this->connection->stream, this->connection->buffer, *this->parser);
    const auto space = std::make_unique_for_overwrite<char[]>(IoBufferSize);
    auto [ec, size] = reader.decode({ space.get(), IoBufferSize });
    this->currentResult.isResponseStarted = true;
    bool isSent = co_await this->sendResponsePart(head, { space.get(), size });
    while (isSent && !ec && !reader.isDone()) {
        std::tie(ec, size) = co_await reader.readSome({ space.get(), IoBufferSize });
        if (!ec) {
            isSent = co_await this->sendResponsePart({}, { space.get(), size });
        }
    }
    if (!isSent) {
        this->fail(core::Reason::CallerLeft, balance::Outcome::Cancelled,
                   "the caller disconnected");
        co_return;
    }
    if (ec) {
        this->fail(core::Reason::UpstreamFailed, balance::Outcome::BrokenOff,
                   "the response is truncated or malformed: " + ec.message());
        co_return;
    }
    this->currentResult.isKeepAlive = !isClosing;
}

// For a caller of HTTP/1.0 that is sending an upload. A reset that marks a truncated response could
// be reported to its upload only, so the response is sent when it is whole, with a length.
asio::awaitable<void> Attempt::forwardWhole()
{
    std::string content;
    const error_code ec = co_await this->discardResponse(&content);
    if (ec) {
        const bool isTooLarge = ec == http::error::body_limit;
        this->fail(core::Reason::UpstreamFailed,
                   isTooLarge ? this->currentResult.report.outcome : balance::Outcome::BrokenOff,
                   "no complete response for a caller of HTTP/1.0: " + ec.message());
        co_return;
    }
    const std::string message =
        makeSizedResponse(makeResponseFields(*this->parser, this->plan.traceId, this->dialect()),
                          content, content.size(), true);
    this->currentResult.isResponseStarted = true;
    if (co_await this->caller.write(message)) {
        this->fail(core::Reason::CallerLeft, balance::Outcome::Cancelled,
                   "the caller disconnected");
    }
}

asio::awaitable<bool> Attempt::sendResponsePart(std::string_view head, std::string_view part)
{
    const bool isChunked = this->framing == ResponseFraming::Chunked;
    const bool isLastChunk = isChunked && this->parser->is_done();
    const std::string chunk =
        isChunked && !part.empty() ? chunkHeader(part.size()) : std::string {};
    const std::array buffers { toBuffer(head), toBuffer(chunk), toBuffer(part),
                               toBuffer(chunk.empty() ? "" : "\r\n"),
                               toBuffer(isLastChunk ? LastChunk : "") };
    const auto [ec, size] = co_await this->caller.stream.write(buffers);
    co_return !ec;
}

void Attempt::recordResponse()
{
    const bool isServerError = this->parser->get().result_int() >= ServerErrorStatus;
    this->currentResult.report.outcome =
        isServerError ? balance::Outcome::ServerError : balance::Outcome::Answered;
    this->currentResult.report.load = readLoad(this->parser->get(), this->dialect());
    this->currentResult.report.notice = readNotice(this->parser->get(), this->dialect());
}

// A connection is reused only if both sides have completed the exchange and no input is left.
void Attempt::releaseConnection()
{
    if (!this->connection) {
        return;
    }
    const bool isResponseUsable = !this->currentResult.error
        || this->currentResult.report.outcome == balance::Outcome::Shed
        || this->currentResult.report.outcome == balance::Outcome::ServerError;
    const bool isClean = isResponseUsable && !this->isAborted && this->isBodySent && this->parser
        && this->parser->is_done() && this->parser->keep_alive()
        && this->connection->buffer.size() == 0 && this->connection->socket.is_open();
    // From here on the connection may serve another request, which abort() must not reach.
    const UpstreamConnectionPtr released = std::exchange(this->connection, nullptr);
    if (isClean) {
        this->context.pool.release(released, this->context.now());
        return;
    }
    released->reset();
}

void Attempt::fail(core::Reason reason, balance::Outcome outcome, std::string detail)
{
    this->currentResult.error =
        core::Error { reason, this->currentResult.verdict, std::move(detail), std::nullopt };
    this->currentResult.report.outcome = outcome;
}

} // namespace damaskgate::entry
