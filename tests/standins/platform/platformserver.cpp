#include "platformserver.h"

#include <algorithm>
#include <charconv>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "keyvaluestore.h"

namespace damaskgate::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using asio::ip::tcp;
using nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

namespace {

constexpr std::chrono::milliseconds ReloadInterval { 50 };
constexpr std::chrono::milliseconds LongestWait { 600'000 };
constexpr std::string_view ValuePrefix = "/v1/kv/";
constexpr std::string_view ControlPrefix = "/_control/kv/";

//! Simulated faults; set by PUT /_control/faults.
struct Faults
{
    bool isDown = false; //!< connections are closed without a response
    bool isStale = false; //!< reads return the values and indexes of the snapshot
    double slowSeconds = 0; //!< delay of each response
    bool isTruncated = false; //!< reads return the first half of each value
};

struct Counts
{
    std::uint64_t calls = 0;
    std::uint64_t watches = 0;
    std::uint64_t refused = 0;
};

//! Query of a request target, such as `raw&index=4&wait=30s`.
class Query
{
public:
    explicit Query(std::string_view text)
    {
        while (!text.empty()) {
            const std::string_view pair = text.substr(0, text.find('&'));
            text.remove_prefix(std::min(text.size(), pair.size() + 1));
            const std::size_t equals = pair.find('=');
            const std::string_view value =
                equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
            this->values[std::string(pair.substr(0, equals))] = value;
        }
    }

    std::uint64_t index() const
    {
        return this->number("index").first;
    }

    std::chrono::milliseconds wait() const
    {
        const auto [number, unit] = this->number("wait");
        const std::chrono::milliseconds unitDuration(unit == "ms"      ? 1
                                                         : unit == "m" ? 60'000
                                                                       : 1000);
        const std::chrono::milliseconds wait = unitDuration * number;
        return std::min(wait, LongestWait);
    }

private:
    std::pair<std::uint64_t, std::string> number(const std::string &name) const
    {
        const auto found = this->values.find(name);
        if (found == this->values.end()) {
            return {};
        }
        std::uint64_t value = 0;
        const char *end = found->second.data() + found->second.size();
        const auto result = std::from_chars(found->second.data(), end, value);
        return { value, std::string(result.ptr, end) };
    }

    std::map<std::string, std::string> values;
};

Response makeResponse(const Request &request, http::status status, std::string body)
{
    Response response(status, request.version());
    response.keep_alive(request.keep_alive());
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

class PlatformServer::Impl : public std::enable_shared_from_this<PlatformServer::Impl>
{
public:
    Impl(asio::io_context &context, PlatformServerOptions options)
        : options(std::move(options)), acceptor(context), reloadTimer(context),
          values(this->options.directory), windowStart(std::chrono::steady_clock::now())
    {}

    void start()
    {
        const tcp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                     this->options.port);
        this->acceptor.open(endpoint.protocol());
        this->acceptor.set_option(tcp::acceptor::reuse_address(true));
        this->acceptor.bind(endpoint);
        this->acceptor.listen();
        this->spawn(this->acceptLoop(this->shared_from_this()));
        this->spawn(this->reloadLoop(this->shared_from_this()));
    }

    void stop()
    {
        this->isStopped = true;
        beast::error_code ignored;
        this->acceptor.close(ignored);
        this->reloadTimer.cancel();
        this->wakeWatches();
        for (tcp::socket *socket : this->sockets) {
            socket->close(ignored);
        }
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    using Timer = asio::steady_timer;

    void spawn(asio::awaitable<void> task)
    {
        asio::co_spawn(this->acceptor.get_executor(), std::move(task), asio::detached);
    }

    asio::awaitable<void> acceptLoop(std::shared_ptr<Impl> self)
    {
        while (!this->isStopped) {
            beast::error_code error;
            tcp::socket socket = co_await this->acceptor.async_accept(
                asio::redirect_error(asio::use_awaitable, error));
            if (!error) {
                this->spawn(this->serve(std::move(socket), self));
            }
        }
    }

    asio::awaitable<void> reloadLoop(std::shared_ptr<Impl> /*self*/)
    {
        while (!this->isStopped) {
            co_await this->sleep(this->reloadTimer, ReloadInterval);
            if (this->values.reload()) {
                this->wakeWatches();
            }
        }
    }

    asio::awaitable<void> sleep(Timer &timer, Timer::duration time)
    {
        beast::error_code ignored;
        timer.expires_after(time);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> serve(tcp::socket socket, std::shared_ptr<Impl> /*self*/)
    {
        this->sockets.insert(&socket);
        beast::flat_buffer buffer;
        beast::error_code error;
        while (!error && !this->isStopped) {
            Request request;
            co_await http::async_read(socket, buffer, request,
                                      asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                break;
            }
            const auto response = co_await this->respond(request);
            if (!response) {
                break;
            }
            co_await http::async_write(socket, *response,
                                       asio::redirect_error(asio::use_awaitable, error));
            if (!response->keep_alive()) {
                break;
            }
        }
        this->sockets.erase(&socket);
    }

    //! @return std::nullopt if the connection must be closed without a response
    asio::awaitable<std::optional<Response>> respond(const Request &request)
    {
        const std::string target(request.target());
        const std::string path = target.substr(0, target.find('?'));
        const bool isPut = request.method() == http::verb::put;
        if (isPut && path.starts_with(ControlPrefix)) {
            co_return this->setValue(request, path.substr(ControlPrefix.size()));
        }
        if (isPut && path == "/_control/faults") {
            co_return this->setFaults(request);
        }
        if (path == "/_stats") {
            co_return makeResponse(request, http::status::ok, this->statistics());
        }
        if (request.method() != http::verb::get || !path.starts_with(ValuePrefix)) {
            co_return makeResponse(request, http::status::method_not_allowed, "read only\n");
        }
        const Query query(
            std::string_view(target).substr(std::min(target.size(), path.size() + 1)));
        co_return co_await this->readValue(request, path.substr(ValuePrefix.size()), query);
    }

    asio::awaitable<std::optional<Response>> readValue(const Request &request, std::string key,
                                                       Query query)
    {
        if (this->faults.isDown) {
            co_return std::nullopt;
        }
        if (!this->countCall(query)) {
            co_return makeResponse(request, http::status::too_many_requests, "too many calls\n");
        }
        co_await this->waitForChange(key, query);
        if (this->faults.slowSeconds > 0) {
            Timer timer(this->acceptor.get_executor());
            const std::chrono::duration<double> time(this->faults.slowSeconds);
            co_await this->sleep(timer, std::chrono::duration_cast<Timer::duration>(time));
        }
        if (this->faults.isDown || this->isStopped) {
            co_return std::nullopt;
        }
        co_return this->valueResponse(request, key);
    }

    Response valueResponse(const Request &request, const std::string &key)
    {
        const auto entry = this->lookUp(key);
        const http::status status = entry ? http::status::ok : http::status::not_found;
        std::string body = entry ? entry->value : std::string();
        if (this->faults.isTruncated) {
            body.resize(body.size() / 2);
        }
        Response response = makeResponse(request, status, std::move(body));
        const std::uint64_t index = entry ? entry->index : this->values.lastIndex();
        response.set("X-Consul-Index", std::to_string(index));
        return response;
    }

    std::optional<KeyValueStore::Entry> lookUp(const std::string &key) const
    {
        return this->faults.isStale ? this->values.findInSnapshot(key) : this->values.find(key);
    }

    asio::awaitable<void> waitForChange(const std::string &key, const Query &query)
    {
        const auto deadline = std::chrono::steady_clock::now() + query.wait();
        Timer timer(this->acceptor.get_executor());
        while (query.index() != 0 && !this->isStopped && !this->faults.isDown) {
            const auto entry = this->lookUp(key);
            const std::uint64_t index = entry ? entry->index : 0;
            const auto left = deadline - std::chrono::steady_clock::now();
            if (index > query.index() || left <= Timer::duration::zero()) {
                break;
            }
            this->watchTimers.insert(&timer);
            co_await this->sleep(timer, left);
            this->watchTimers.erase(&timer);
        }
    }

    void wakeWatches()
    {
        std::ranges::for_each(this->watchTimers, [](Timer *timer) { timer->cancel(); });
    }

    //! @return whether the call is within the configured rate
    bool countCall(const Query &query)
    {
        ++this->counts.calls;
        this->counts.watches += query.index() != 0 ? 1 : 0;
        const auto now = std::chrono::steady_clock::now();
        if (now - this->windowStart >= std::chrono::seconds(1)) {
            this->windowStart = now;
            this->windowCalls = 0;
        }
        this->windowCalls += 1;
        const bool isWithinRate = this->windowCalls <= this->options.callsPerSecond;
        this->counts.refused += isWithinRate ? 0 : 1;
        return isWithinRate;
    }

    Response setValue(const Request &request, const std::string &key)
    {
        this->values.set(key, request.body());
        this->wakeWatches();
        return makeResponse(request, http::status::ok, "true\n");
    }

    Response setFaults(const Request &request)
    {
        constexpr bool AllowExceptions = false;
        const json requested = json::parse(request.body(), nullptr, AllowExceptions);
        if (!requested.is_object()) {
            return makeResponse(request, http::status::bad_request, "expected an object\n");
        }
        const bool wasStale = this->faults.isStale;
        this->faults.isDown = requested.value("down", false);
        this->faults.isStale = requested.value("stale", false);
        this->faults.slowSeconds = requested.value("slowSeconds", 0.0);
        this->faults.isTruncated = requested.value("truncated", false);
        //! NOTE `stale` alone doesn't replace a snapshot, so that setting it again returns to older
        //! values.
        if ((this->faults.isStale && !wasStale && !this->hasSnapshot)
            || requested.value("snapshot", false)) {
            this->values.takeSnapshot();
            this->hasSnapshot = true;
        }
        this->wakeWatches();
        return makeResponse(request, http::status::ok, "true\n");
    }

    std::string statistics() const
    {
        const json statistics = {
            { "calls", this->counts.calls },
            { "watches", this->counts.watches },
            { "refused", this->counts.refused },
            { "waiting", this->watchTimers.size() },
        };
        return statistics.dump() + "\n";
    }

    PlatformServerOptions options;
    tcp::acceptor acceptor;
    Timer reloadTimer;
    KeyValueStore values;
    Faults faults;
    Counts counts;
    std::chrono::steady_clock::time_point windowStart;
    double windowCalls = 0;
    std::set<Timer *> watchTimers;
    std::set<tcp::socket *> sockets;
    bool hasSnapshot = false;
    bool isStopped = false;
};

PlatformServer::PlatformServer(asio::io_context &context, PlatformServerOptions options)
    : impl(std::make_shared<Impl>(context, std::move(options)))
{}

PlatformServer::~PlatformServer()
{
    this->impl->stop();
}

void PlatformServer::start()
{
    this->impl->start();
}

void PlatformServer::stop()
{
    this->impl->stop();
}

std::uint16_t PlatformServer::port() const
{
    return this->impl->port();
}

} // namespace damaskgate::standins
