#include "damaskgate/http/httpreader.h"

#include <algorithm>
#include <utility>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "damaskgate/http/checkedstream.h"
#include "damaskgate/http/messagereader.h"

namespace damaskgate::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

using Clock = std::chrono::steady_clock;

/** Limits the time of each read of a response. */
class TimedStream
{
public:
    /**
     * @param firstWait limit of the first read
     * @param wait limit of each later one
     * @param deadline limit of all of them
     */
    TimedStream(beast::tcp_stream &stream, Clock::duration firstWait, Clock::duration wait,
                Clock::time_point deadline)
        : stream(stream), checked(stream), nextWait(firstWait), wait(wait), deadline(deadline)
    {}

    asio::awaitable<IoResult> read(asio::mutable_buffer space)
    {
        this->stream.expires_at(
            std::min(Clock::now() + std::exchange(this->nextWait, this->wait), this->deadline));
        co_return co_await this->checked.read(space);
    }

private:
    beast::tcp_stream &stream;
    CheckedStream<beast::tcp_stream> checked;
    Clock::duration nextWait;
    Clock::duration wait;
    Clock::time_point deadline;
};

tl::unexpected<core::Error> unavailable(const char *step, const beast::error_code &error)
{
    return core::notRun(core::Reason::PlatformUnavailable,
                        std::string(step) + ": " + error.message());
}

} // namespace

HttpReader::HttpReader(asio::io_context &context, Options options)
    : options(options), stream(context)
{}

void HttpReader::setServer(std::string address, std::uint16_t port)
{
    this->close();
    this->address = std::move(address);
    this->port = port;
}

void HttpReader::close()
{
    beast::error_code ignored;
    this->stream.socket().close(ignored);
    this->buffer.clear();
}

asio::awaitable<core::Result<HttpResponse>> HttpReader::get(std::string target,
                                                            std::chrono::milliseconds wait)
{
    auto result = co_await this->exchange(std::move(target), wait);
    if (!result || !result->keep_alive()) {
        this->close();
    }
    co_return result;
}

asio::awaitable<beast::error_code> HttpReader::connect()
{
    beast::error_code error;
    const auto ip = asio::ip::make_address(this->address, error);
    if (error) {
        co_return error;
    }
    this->close();
    this->stream.expires_after(this->options.timeout);
    co_await this->stream.async_connect({ ip, this->port },
                                        asio::redirect_error(asio::use_awaitable, error));
    if (!error) {
        beast::error_code ignored;
        this->stream.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    }
    co_return error;
}

asio::awaitable<core::Result<HttpResponse>> HttpReader::exchange(std::string target,
                                                                 std::chrono::milliseconds wait)
{
    beast::error_code error;
    if (!this->stream.socket().is_open()) {
        error = co_await this->connect();
        if (error) {
            co_return unavailable("connect", error);
        }
    }
    beast::http::request<beast::http::empty_body> request(beast::http::verb::get, target, 11);
    request.set(beast::http::field::host, this->address);
    const Clock::time_point deadline = Clock::now() + this->options.totalTimeout + wait;
    this->stream.expires_after(this->options.timeout);
    co_await beast::http::async_write(this->stream, request,
                                      asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable("write", error);
    }
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(this->options.maxBodyBytes);
    TimedStream timed(this->stream, this->options.timeout + wait, this->options.timeout, deadline);
    MessageReader reader(timed, this->buffer, parser);
    error = co_await reader.readHead();
    if (!error) {
        error = co_await reader.readBody();
    }
    if (error) {
        co_return unavailable("read", error);
    }
    co_return parser.release();
}

} // namespace damaskgate::http
