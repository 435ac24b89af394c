#include "kvclient.h"

#include <charconv>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include "damaskgate/settings/manifest.h"

namespace damaskgate::platform {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto IndexField = "X-Consul-Index";

using Response = http::response<http::string_body>;

tl::unexpected<core::Error> unavailable(std::string detail)
{
    return core::notRun(core::Reason::PlatformUnavailable, std::move(detail));
}

core::Result<KvValue> toValue(Response &response)
{
    KvValue value;
    const auto index = response[IndexField];
    std::from_chars(index.data(), index.data() + index.size(), value.index);
    if (response.result() == http::status::not_found) {
        return value;
    }
    if (response.result() != http::status::ok) {
        return unavailable("status " + std::to_string(response.result_int()));
    }
    value.value = std::move(response.body());
    return value;
}

} // namespace

KvClient::KvClient(asio::io_context &context, std::chrono::milliseconds timeout)
    : timeout(timeout), stream(context)
{}

void KvClient::setReplica(const settings::SocketAddress &replica)
{
    this->close();
    this->replica = replica;
}

void KvClient::close()
{
    beast::error_code ignored;
    this->stream.socket().close(ignored);
    this->buffer.clear();
}

asio::awaitable<core::Result<KvValue>> KvClient::get(std::string key, std::optional<KvWatch> watch)
{
    std::string target = "/v1/kv/" + key + "?raw";
    std::chrono::milliseconds limit = this->timeout;
    if (watch) {
        target += "&index=" + std::to_string(watch->index);
        target += "&wait=" + std::to_string(watch->wait.count()) + "ms";
        limit += watch->wait;
    }
    auto result = co_await this->exchange(std::move(target), limit);
    if (!result) {
        this->close();
    }
    co_return result;
}

asio::awaitable<beast::error_code> KvClient::connect()
{
    beast::error_code error;
    const auto address = asio::ip::make_address(this->replica.address, error);
    if (error) {
        co_return error;
    }
    this->close();
    this->stream.expires_after(this->timeout);
    co_await this->stream.async_connect({ address, this->replica.port },
                                        asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

asio::awaitable<core::Result<KvValue>> KvClient::exchange(std::string target,
                                                          std::chrono::milliseconds timeout)
{
    beast::error_code error;
    if (!this->stream.socket().is_open()) {
        error = co_await this->connect();
        if (error) {
            co_return unavailable("connect: " + error.message());
        }
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, this->replica.address);
    this->stream.expires_after(timeout);
    co_await http::async_write(this->stream, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable("write: " + error.message());
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(settings::MaxValueBytes);
    co_await http::async_read(this->stream, this->buffer, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return unavailable("read: " + error.message());
    }
    if (!parser.get().keep_alive()) {
        this->close();
    }
    co_return toValue(parser.get());
}

} // namespace damaskgate::platform
