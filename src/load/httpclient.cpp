#include "httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/write.hpp>

#include "damaskgate/http/checkedstream.h"
#include "damaskgate/http/messagereader.h"

namespace damaskgate::load {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

namespace {

constexpr auto WithError = asio::as_tuple(asio::use_awaitable);
constexpr char ReasonField[] = "Damaskgate-Reason";
constexpr char VerdictField[] = "Damaskgate-Verdict";

using Response = http::response<http::string_body>;

std::string fieldText(const Response &response, const char *name)
{
    const auto value = response[name];
    return { value.data(), value.size() };
}

Outcome outcomeOf(beast::error_code error)
{
    return error == beast::error::timeout ? Outcome::Timeout : Outcome::Broken;
}

void readResponse(const Response &response, const std::string &requestId, ExchangeResult &result)
{
    result.status = response.result_int();
    result.reason = fieldText(response, ReasonField);
    result.verdict = fieldText(response, VerdictField);
    result.outcome = result.reason.empty() ? Outcome::Answered : Outcome::Refused;
    const std::string echoed = fieldText(response, RequestIdField);
    const std::string &body = response.body();
    const bool hasOwnId = !requestId.empty() && body.find(requestId) != std::string::npos;
    const bool hasOtherId = !hasOwnId && body.find(RequestIdPrefix) != std::string::npos;
    result.hasRequestId = !echoed.empty() || hasOwnId || hasOtherId;
    result.isOwnResponse = (echoed.empty() || echoed == requestId) && !hasOtherId;
}

/** @return whether the peer closed the idle connection or sent unexpected data. */
bool isStale(beast::tcp_stream &stream)
{
    beast::error_code error;
    char byte = 0;
    stream.socket().non_blocking(true, error);
    stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
    return error != asio::error::would_block;
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor executor) : executor(std::move(executor)) {}

std::unique_ptr<HttpClient::Stream> HttpClient::popIdle(const Address &address)
{
    std::vector<std::unique_ptr<Stream>> &kept = this->idle[address];
    while (!kept.empty()) {
        std::unique_ptr<Stream> stream = std::move(kept.back());
        kept.pop_back();
        if (!isStale(*stream)) {
            return stream;
        }
    }
    return nullptr;
}

asio::awaitable<HttpResponse> HttpClient::exchange(Address address, HttpRequest request,
                                                   std::string requestId, core::Duration timeout)
{
    HttpResponse response;
    std::unique_ptr<Stream> stream = this->popIdle(address);
    if (!stream) {
        stream = std::make_unique<Stream>(this->executor);
        stream->expires_after(timeout);
        const tcp::endpoint endpoint(asio::ip::make_address(address.host), address.port);
        const auto [error] = co_await stream->async_connect(endpoint, WithError);
        if (error) {
            response.result.outcome = Outcome::NotConnected;
            co_return response;
        }
        stream->socket().set_option(tcp::no_delay(true));
        response.result.hasNewConnection = true;
    }

    stream->expires_after(timeout);
    const auto [writeError, written] = co_await http::async_write(*stream, request, WithError);
    if (writeError) {
        response.result.outcome = outcomeOf(writeError);
        co_return response;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(request.method() == http::verb::head);
    damaskgate::http::CheckedStream checked(*stream);
    damaskgate::http::MessageReader reader(checked, buffer, parser);
    beast::error_code readError = co_await reader.readHead();
    if (!readError) {
        readError = co_await reader.readBody();
    }
    if (readError) {
        response.result.outcome = outcomeOf(readError);
        co_return response;
    }
    readResponse(parser.get(), requestId, response.result);
    response.body = std::move(parser.get().body());
    if (parser.get().keep_alive() && buffer.size() == 0) {
        stream->expires_never();
        this->idle[address].push_back(std::move(stream));
    }
    co_return response;
}

} // namespace damaskgate::load
