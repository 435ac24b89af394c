#include "callersession.h"

#include <algorithm>
#include <utility>

#include "headerrules.h"
#include "refusal.h"

namespace damaskgate::entry {

namespace {

constexpr int RequestTimeoutStatus = 408;
constexpr int HeaderTooLargeStatus = 431;
constexpr int BadRequestStatus = 400;
constexpr std::size_t HeaderReadSize = 4096;
constexpr std::string_view HeaderEnd = "\r\n\r\n";
constexpr core::Duration NoTimeout = core::Duration::zero();

std::string_view received(const beast::flat_buffer &buffer)
{
    return { static_cast<const char *>(buffer.data().data()), buffer.size() };
}

} // namespace

CallerSession::CallerSession(EntryContext &context, asio::ip::tcp::socket socket)
    : context(context), connection(std::make_shared<CallerConnection>(std::move(socket)))
{}

asio::awaitable<void> CallerSession::run()
{
    bool isKeepAlive = true;
    while (isKeepAlive && !this->context.isStopped) {
        isKeepAlive = co_await this->serveNext();
        this->exchange.reset();
    }
    this->enterPhase(Phase::Closing, NoTimeout);
    if (this->connection->socket.is_open() && !this->context.isStopped) {
        co_await this->connection->closeGracefully();
    }
}

void CallerSession::checkTimeouts(core::Instant now)
{
    const bool isWaiting = this->phase == Phase::Idle || this->phase == Phase::Header;
    if (isWaiting && now >= this->phaseEnd) {
        this->isTimedOut = true;
        this->connection->cancel();
    }
}

void CallerSession::onDrain(core::Instant now)
{
    if (this->phase == Phase::Idle) {
        this->phaseEnd = std::min(this->phaseEnd, now + this->context.options.drainIdleTimeout);
    }
}

bool CallerSession::isIdle() const
{
    return this->phase == Phase::Closing
        || (this->phase == Phase::Idle && !this->connection->hasInput());
}

void CallerSession::stop()
{
    if (!this->exchange) {
        this->connection->close();
        return;
    }
    // The exchange closes the connection, with a reset if a part of the response was sent.
    this->exchange->abort(AbortCause::Stopped);
    this->connection->cancel();
}

asio::awaitable<bool> CallerSession::serveNext()
{
    if (!co_await this->waitForRequest()) {
        co_return false;
    }
    this->enterPhase(Phase::Header, this->context.options.headerTimeout);
    const auto headerSize = co_await this->receiveHeader();
    if (!headerSize && this->connection->buffer.size() == 0) {
        co_return false;
    }
    if (!headerSize) {
        const bool isTooLarge =
            this->connection->buffer.size() >= this->context.options.maxHeaderBytes;
        const int status = this->isTimedOut ? RequestTimeoutStatus
            : isTooLarge                    ? HeaderTooLargeStatus
                                            : BadRequestStatus;
        co_return co_await this->refuseHeader(headerSize.error(), status);
    }
    RequestParser parser;
    const auto parsed = this->parseHeader(parser, *headerSize);
    if (!parsed) {
        co_return co_await this->refuseHeader(parsed.error(), BadRequestStatus);
    }
    this->context.checkDrain();
    this->enterPhase(Phase::Exchange, NoTimeout);
    this->exchange =
        std::make_shared<Exchange>(this->context, this->connection, parser,
                                   !parser.get().keep_alive() || parser.get().version() < 11);
    co_return co_await this->exchange->run();
}

// Waits without an allocated buffer, so that idle connections use little memory.
asio::awaitable<bool> CallerSession::waitForRequest()
{
    const bool isDraining = this->context.isDraining;
    this->enterPhase(Phase::Idle,
                     isDraining ? core::Duration(this->context.options.drainIdleTimeout)
                                : core::Duration(this->context.options.keepAliveTimeout));
    auto &buffer = this->connection->buffer;
    if (buffer.size() > 0) {
        co_return true;
    }
    buffer.shrink_to_fit();
    const auto [ec] =
        co_await this->connection->socket.async_wait(asio::ip::tcp::socket::wait_read, WithError);
    // Bytes may have arrived between the last check of the socket and a timeout.
    co_return !ec || this->connection->hasInput();
}

asio::awaitable<core::Result<std::size_t>> CallerSession::receiveHeader()
{
    auto &buffer = this->connection->buffer;
    std::size_t searched = 0;
    while (true) {
        if (searched == 0) {
            this->skipEmptyLines();
        }
        const auto end = received(buffer).find(HeaderEnd, searched);
        if (end != std::string_view::npos && end <= this->context.options.maxHeaderBytes) {
            co_return end + HeaderEnd.size();
        }
        if (buffer.size() >= this->context.options.maxHeaderBytes) {
            co_return core::notRun(core::Reason::BadRequest, "the request header is too large");
        }
        searched = buffer.size() - std::min(buffer.size(), HeaderEnd.size() - 1);
        const auto space = buffer.prepare(HeaderReadSize);
        const auto [ec, size] = co_await this->connection->socket.async_read_some(space, WithError);
        if (ec) {
            co_return core::notRun(core::Reason::BadRequest, "the request header is incomplete");
        }
        buffer.commit(size);
    }
}

asio::awaitable<bool> CallerSession::refuseHeader(const core::Error &error, int status)
{
    const std::string message =
        toMessage({ error, status, {}, {}, true, false }, this->context.options.dialect);
    co_await this->connection->write(message);
    RequestRecord record;
    record.reason = error.reason;
    record.status = status;
    this->context.dependencies.observer.onRequestFinished(record);
    co_return false;
}

core::Result<void> CallerSession::parseHeader(RequestParser &parser, std::size_t size)
{
    auto &buffer = this->connection->buffer;
    if (auto raw = checkRawHeader(received(buffer).substr(0, size)); !raw) {
        return raw;
    }
    parser.header_limit(static_cast<std::uint32_t>(size + 1));
    parser.body_limit(boost::none);
    error_code ec;
    const std::size_t used = parser.put(asio::const_buffer(buffer.data().data(), size), ec);
    if (ec || !parser.is_header_done()) {
        return core::notRun(core::Reason::BadRequest, "the request header is malformed");
    }
    buffer.consume(used);
    parser.eager(true);
    return checkRequestHeader(parser.get());
}

void CallerSession::enterPhase(Phase next, core::Duration timeout)
{
    this->phase = next;
    this->phaseEnd = this->context.now() + timeout;
    this->isTimedOut = false;
}

void CallerSession::skipEmptyLines()
{
    auto &buffer = this->connection->buffer;
    while (received(buffer).starts_with("\r\n")) {
        buffer.consume(2);
    }
}

} // namespace damaskgate::entry
