#include "callerconnection.h"

#include <utility>

#include <boost/asio/buffer.hpp>

namespace damaskgate::entry {

namespace {

constexpr std::size_t ReadAheadSize = 4096;
constexpr std::size_t MaxReadAhead = 65536; //!< buffered bytes of pipelined requests
constexpr std::size_t MaxDiscarded = 1048576; //!< bytes of input read by closeGracefully()
constexpr std::chrono::seconds LingerTime { 2 };

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket) : socket(std::move(socket))
{
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void CallerConnection::startWatch(std::function<void()> onDisconnect)
{
    this->onDisconnect = std::move(onDisconnect);
    if (!this->isReading) {
        this->readAhead();
    }
}

asio::awaitable<void> CallerConnection::stopWatch()
{
    this->onDisconnect = nullptr;
    if (!this->isReading) {
        co_return;
    }
    this->watchEnd = std::make_shared<OneShot<bool>>(this->socket.get_executor());
    const OneShotPtr<bool> end = this->watchEnd;
    this->cancel();
    co_await end->wait();
}

asio::awaitable<error_code> CallerConnection::write(std::string_view text)
{
    const auto [ec, size] =
        co_await this->stream.write(asio::const_buffer(text.data(), text.size()));
    co_return ec;
}

asio::awaitable<void> CallerConnection::closeGracefully()
{
    error_code ec;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
    asio::steady_timer timer(this->socket.get_executor(), LingerTime);
    timer.async_wait([self = this->shared_from_this()](const error_code &timerError) {
        if (!timerError) {
            self->cancel();
        }
    });
    std::size_t discarded = 0;
    while (!ec && discarded < MaxDiscarded) {
        this->buffer.clear();
        const auto space = this->buffer.prepare(ReadAheadSize);
        const auto [readError, size] = co_await this->socket.async_read_some(space, WithError);
        ec = readError;
        discarded += size;
    }
    timer.cancel();
    this->close();
}

bool CallerConnection::hasInput() const
{
    error_code ec;
    return this->socket.available(ec) > 0 && !ec;
}

void CallerConnection::cancel()
{
    error_code ignored;
    this->socket.cancel(ignored);
}

void CallerConnection::close(bool isReset)
{
    error_code ignored;
    if (isReset) {
        this->socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    this->socket.close(ignored);
}

void CallerConnection::readAhead()
{
    this->isReading = true;
    this->socket.async_read_some(
        this->buffer.prepare(ReadAheadSize),
        [self = this->shared_from_this()](const error_code &ec, std::size_t size) {
            self->onReadAhead(ec, size);
        });
}

void CallerConnection::onReadAhead(const error_code &ec, std::size_t size)
{
    this->isReading = false;
    this->buffer.commit(size);
    if (this->watchEnd) {
        std::exchange(this->watchEnd, nullptr)->set(true);
        return;
    }
    if (!ec && this->buffer.size() < MaxReadAhead) {
        this->readAhead();
        return;
    }
    if (ec && ec != asio::error::operation_aborted && this->onDisconnect) {
        std::exchange(this->onDisconnect, nullptr)();
    }
}

} // namespace damaskgate::entry
