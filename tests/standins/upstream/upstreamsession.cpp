#include "upstreamsession.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <sstream>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <nlohmann/json.hpp>

#include "upstreamendpoint.h"

namespace damaskgate::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto WithError = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t PartSize = 16384;

std::size_t numberAfter(std::string_view path, std::string_view prefix)
{
    std::size_t number = 0;
    const auto digits = path.substr(std::min(prefix.size(), path.size()));
    std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return number;
}

std::string toChunk(std::string_view part)
{
    std::ostringstream text;
    text << std::hex << part.size() << "\r\n" << part << "\r\n";
    return text.str();
}

std::string makePart(std::size_t offset, std::size_t size)
{
    std::string part(size, '\0');
    std::ranges::generate(part, [&offset] { return static_cast<char>('a' + offset++ % 26); });
    return part;
}

} // namespace

const std::initializer_list<UpstreamSession::Resource> UpstreamSession::Resources {
    { "/health", &UpstreamSession::serveHealth }, { "/_faults", &UpstreamSession::serveFaults },
    { "/_stats", &UpstreamSession::serveStats },  { "/early", &UpstreamSession::serveEarly },
    { "/echo", &UpstreamSession::serveEcho },
};

UpstreamSession::UpstreamSession(UpstreamEndpoint &endpoint,
                                 std::shared_ptr<asio::ip::tcp::socket> connection)
    : endpoint(endpoint), connection(std::move(connection)), socket(*this->connection),
      timer(this->socket.get_executor())
{
    error_code ignored;
    this->socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

asio::awaitable<void> UpstreamSession::run()
{
    bool isKept = true;
    while (isKept) {
        isKept = co_await this->serveNext();
    }
}

asio::awaitable<bool> UpstreamSession::serveNext()
{
    this->parser.emplace();
    this->parser->body_limit(boost::none);
    const auto [ec, size] =
        co_await http::async_read_header(this->socket, this->buffer, *this->parser, WithError);
    if (ec) {
        const bool isPartial = ec != http::error::end_of_stream && this->buffer.size() > 0;
        this->endpoint.stats.malformed += isPartial ? 1 : 0;
        co_return false;
    }
    const auto *const resource = std::ranges::find_if(
        Resources, [this](const Resource &item) { return this->path().starts_with(item.prefix); });
    const Handler serve =
        resource == Resources.end() ? &UpstreamSession::serveRequest : resource->serve;
    if (resource == Resources.end() || serve == &UpstreamSession::serveEcho
        || serve == &UpstreamSession::serveEarly) {
        this->endpoint.stats.keysSeen += this->containsKey() ? 1 : 0;
        this->endpoint.stats.withoutDeadline += this->field("Damaskgate-Deadline-Ms").empty();
    }
    const bool isServed = co_await (this->*serve)();
    co_return isServed &&this->parser->is_done() && this->parser->keep_alive();
}

asio::awaitable<bool> UpstreamSession::serveHealth()
{
    ++this->endpoint.stats.probes;
    if (!co_await this->pause(this->endpoint.options.probeCost)) {
        co_return false;
    }
    const UpstreamFaults &faults = this->endpoint.faults;
    const bool isUnhealthy = faults.isHealthFailing || faults.isHanging || faults.isResetting
        || faults.isShedding || faults.errorRate > 0;
    const bool isReportedUnhealthy = isUnhealthy && !faults.isHealthReportFalse;
    co_return co_await this->respond(isReportedUnhealthy ? 503 : 200,
                                     isReportedUnhealthy ? "bad\n" : "good\n");
}

asio::awaitable<bool> UpstreamSession::serveFaults()
{
    std::string text;
    if (!co_await this->readBody(&text)) {
        co_return false;
    }
    auto document = nlohmann::json::parse(text, nullptr, false);
    if (document.is_object() && document.contains("cold_ms")) {
        this->endpoint.restartCold(
            std::chrono::milliseconds(document["cold_ms"].get<std::int64_t>()));
        document.erase("cold_ms");
    }
    const std::string error = applyFaults(this->endpoint.faults, document);
    co_return co_await this->respond(error.empty() ? 200 : 400, error + "\n");
}

asio::awaitable<bool> UpstreamSession::serveStats()
{
    const std::string text = this->endpoint.statsJson();
    co_return co_await this->respond(200, text);
}

asio::awaitable<bool> UpstreamSession::serveEarly()
{
    this->endpoint.countRequest(std::string(this->field("Operation-Key")));
    ++this->endpoint.stats.answered;
    co_await this->respond(413, "too large\n");
    co_return false;
}

asio::awaitable<bool> UpstreamSession::serveEcho()
{
    this->endpoint.countRequest(std::string(this->field("Operation-Key")));
    bool isSent = co_await this->send(this->makeHead(200, "Transfer-Encoding: chunked\r\n"));
    while (isSent && !this->parser->is_done()) {
        const auto part = co_await this->readPart();
        if (!part) {
            co_return false;
        }
        if (!part->empty()) {
            isSent = co_await this->send(toChunk(*part));
        }
    }
    ++this->endpoint.stats.answered;
    co_return isSent &&co_await this->send("0\r\n\r\n");
}

asio::awaitable<bool> UpstreamSession::serveRequest()
{
    if (!co_await this->readBody(nullptr)) {
        ++this->endpoint.stats.malformed;
        co_return false;
    }
    if (!co_await this->endpoint.acquireSlot()) {
        co_return co_await this->respond(503, "shed\n", "Upstream-Shed: 1\r\n");
    }
    const bool isKept = co_await this->processRequest();
    this->endpoint.releaseSlot();
    co_return isKept;
}

asio::awaitable<bool> UpstreamSession::processRequest()
{
    this->endpoint.countRequest(std::string(this->field("Operation-Key")));
    const UpstreamFaults faults = this->endpoint.faults;
    if (faults.isResetting) {
        this->socket.set_option(asio::socket_base::linger(true, 0));
        co_return false;
    }
    if (faults.isHanging) {
        co_return co_await this->waitWhileHanging();
    }
    if (!co_await this->pause(this->endpoint.serviceTime() + faults.late)) {
        ++this->endpoint.stats.cancelled;
        co_return false;
    }
    ++this->endpoint.stats.answered;
    if (this->endpoint.shouldFailNext()) {
        co_return co_await this->respond(500, "failed\n");
    }
    if (faults.isResponseTruncated) {
        co_await this->send(this->makeHead(200, "Content-Length: 100\r\n") + "half");
        co_return false;
    }
    const bool isSent = co_await this->sendContent();
    if (faults.isResponseDuplicated && isSent) {
        co_return co_await this->respond(200, "late copy\n");
    }
    co_return isSent;
}

asio::awaitable<bool> UpstreamSession::sendContent()
{
    const std::string_view path = this->path();
    const bool isChunked = path.starts_with("/chunked/");
    const bool isUntilClose = path.starts_with("/close/");
    const bool isSized = path.starts_with("/bytes/");
    if (!isChunked && !isUntilClose && !isSized) {
        const std::string text(this->path());
        co_return co_await this->respond(200, text + "\n");
    }
    const std::size_t total = numberAfter(path, path.substr(0, path.find('/', 1) + 1));
    const std::string framing = isChunked ? "Transfer-Encoding: chunked\r\n"
        : isUntilClose                    ? "Connection: close\r\n"
                                          : "Content-Length: " + std::to_string(total) + "\r\n";
    bool isSent = co_await this->send(this->makeHead(200, framing));
    if (this->parser->get().method() == http::verb::head) {
        co_return isSent;
    }
    for (std::size_t offset = 0; isSent && offset < total; offset += PartSize) {
        const std::string part = makePart(offset, std::min(PartSize, total - offset));
        isSent = co_await this->send(isChunked ? toChunk(part) : part);
    }
    if (isChunked && isSent) {
        isSent = co_await this->send("0\r\n\r\n");
    }
    co_return isSent && !isUntilClose;
}

asio::awaitable<bool> UpstreamSession::pause(std::chrono::milliseconds time)
{
    this->timer.expires_after(time);
    this->watchForClose();
    co_await this->timer.async_wait(WithError);
    error_code ignored;
    this->socket.cancel(ignored);
    co_return !this->isClosedByClient;
}

asio::awaitable<std::optional<std::string>> UpstreamSession::readPart()
{
    std::string part(PartSize, '\0');
    auto &body = this->parser->get().body();
    body.data = part.data();
    body.size = part.size();
    auto [ec, size] =
        co_await http::async_read_some(this->socket, this->buffer, *this->parser, WithError);
    if (ec && ec != http::error::need_buffer) {
        co_return std::nullopt;
    }
    part.resize(part.size() - body.size);
    this->endpoint.stats.bodyBytes += part.size();
    co_return part;
}

asio::awaitable<bool> UpstreamSession::readBody(std::string *kept)
{
    while (!this->parser->is_done()) {
        const auto part = co_await this->readPart();
        if (!part) {
            co_return false;
        }
        if (kept != nullptr) {
            *kept += *part;
        }
    }
    co_return true;
}

asio::awaitable<bool> UpstreamSession::send(std::string_view text)
{
    const auto [ec, size] =
        co_await asio::async_write(this->socket, asio::buffer(text.data(), text.size()), WithError);
    co_return !ec;
}

asio::awaitable<bool> UpstreamSession::respond(int status, std::string_view body,
                                               std::string_view fields)
{
    const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
    std::string message = this->makeHead(status, length + std::string(fields));
    if (this->parser->get().method() != http::verb::head) {
        message += body;
    }
    co_return co_await this->send(message);
}

asio::awaitable<bool> UpstreamSession::waitWhileHanging()
{
    while (!this->isClosedByClient && this->endpoint.faults.isHanging) {
        constexpr std::chrono::milliseconds Interval { 50 };
        co_await this->pause(Interval);
    }
    this->endpoint.stats.cancelled += this->isClosedByClient ? 1 : 0;
    co_return false;
}

std::string UpstreamSession::makeHead(int status, std::string_view framing) const
{
    const auto reasonPhrase = http::obsolete_reason(static_cast<http::status>(status));
    std::string head =
        "HTTP/1.1 " + std::to_string(status) + " " + std::string(reasonPhrase) + "\r\n";
    head += "Upstream-Load: " + this->endpoint.loadFieldValue() + "\r\n";
    std::string exchange(this->field("Damaskgate-Exchange"));
    if (this->endpoint.faults.isExchangeIdWrong) {
        exchange += "0";
    }
    if (!exchange.empty()) {
        head += "Damaskgate-Exchange: " + exchange + "\r\n";
    }
    head += framing;
    head += "\r\n";
    return head;
}

// Cancels the current request when the client closes the connection.
void UpstreamSession::watchForClose()
{
    this->socket.async_wait(
        asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](const error_code &ec) {
            if (ec) {
                return;
            }
            std::array<char, 1> octet {};
            error_code peekError;
            self->socket.non_blocking(true, peekError);
            self->socket.receive(asio::buffer(octet), asio::socket_base::message_peek, peekError);
            if (peekError && peekError != asio::error::would_block) {
                self->isClosedByClient = true;
                self->timer.cancel();
            }
        });
}

bool UpstreamSession::containsKey() const
{
    const auto &header = this->parser->get();
    std::string text(header.target().data(), header.target().size());
    for (const auto &item : header) {
        text.append("\n").append(item.name_string().data(), item.name_string().size());
        text.append(": ").append(item.value().data(), item.value().size());
    }
    const std::array keyMarkers { std::string("damaskgate_key"), std::string("Damaskgate-Key"),
                                  this->endpoint.options.keyMarker };
    return std::ranges::any_of(keyMarkers, [&text](const std::string &mark) {
        return text.find(mark) != std::string::npos;
    });
}

std::string_view UpstreamSession::path() const
{
    const auto target = this->parser->get().target();
    return { target.data(), target.size() };
}

std::string_view UpstreamSession::field(const char *name) const
{
    const auto value = this->parser->get()[name];
    return { value.data(), value.size() };
}

} // namespace damaskgate::standins
