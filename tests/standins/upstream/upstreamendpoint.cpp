#include "upstreamendpoint.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include "upstreamsession.h"

namespace damaskgate::standins {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto WithError = asio::as_tuple(asio::use_awaitable);

} // namespace

UpstreamEndpoint::UpstreamEndpoint(asio::io_context &ioContext, UpstreamOptions options)
    : options(std::move(options)), ioContext(ioContext), acceptor(ioContext),
      incarnation(std::random_device {}())
{}

std::uint16_t UpstreamEndpoint::listen(const std::string &address, std::uint16_t port)
{
    const asio::ip::tcp::endpoint localEndpoint(asio::ip::make_address(address), port);
    this->acceptor.open(localEndpoint.protocol());
    this->acceptor.set_option(asio::socket_base::reuse_address(true));
    this->acceptor.bind(localEndpoint);
    this->acceptor.listen();
    asio::co_spawn(
        this->ioContext, [self = this->shared_from_this()] { return self->acceptConnections(); },
        asio::detached);
    return this->acceptor.local_endpoint().port();
}

void UpstreamEndpoint::stop()
{
    error_code ignored;
    this->acceptor.close(ignored);
    std::ranges::for_each(this->connections,
                          [&ignored](const auto &socket) { socket->close(ignored); });
}

void UpstreamEndpoint::restartCold(std::chrono::milliseconds rampTime)
{
    this->startedAt = std::chrono::steady_clock::now();
    this->ramp = rampTime;
    this->stats.coldPeak = 0;
    ++this->incarnation;
}

asio::awaitable<bool> UpstreamEndpoint::acquireSlot()
{
    if (this->faults.isShedding || this->waiting.size() >= this->options.queueLimit) {
        ++this->stats.shed;
        co_return false;
    }
    if (this->inFlight < this->options.slots) {
        this->occupySlot();
        co_return true;
    }
    const auto slotTimer = std::make_shared<asio::steady_timer>(
        this->ioContext, asio::steady_timer::time_point::max());
    this->waiting.push_back(slotTimer);
    co_await slotTimer->async_wait(WithError);
    co_return true;
}

void UpstreamEndpoint::releaseSlot()
{
    --this->inFlight;
    if (this->waiting.empty()) {
        return;
    }
    const auto next = this->waiting.front();
    this->waiting.pop_front();
    this->occupySlot();
    next->cancel();
}

std::chrono::milliseconds UpstreamEndpoint::serviceTime() const
{
    const auto time = this->options.service + this->faults.slow;
    const double overload =
        static_cast<double>(this->inFlight) / static_cast<double>(this->usableSlots());
    if (!this->isCold() || overload <= 1) {
        return time;
    }
    const double factor = std::pow(overload, 2);
    return std::chrono::ceil<std::chrono::milliseconds>(time * factor);
}

std::string UpstreamEndpoint::loadFieldValue() const
{
    return "in-flight=" + std::to_string(this->inFlight)
        + ", slots=" + std::to_string(this->usableSlots())
        + ", incarnation=" + std::to_string(this->incarnation);
}

std::string UpstreamEndpoint::statsJson() const
{
    const nlohmann::json document {
        { "requests", this->stats.requests },
        { "answered", this->stats.answered },
        { "shed", this->stats.shed },
        { "cancelled", this->stats.cancelled },
        { "malformed", this->stats.malformed },
        { "probes", this->stats.probes },
        { "keys_seen", this->stats.keysSeen },
        { "without_deadline", this->stats.withoutDeadline },
        { "body_bytes", this->stats.bodyBytes },
        { "connections", this->connections.size() },
        { "connections_made", this->stats.connectionsMade },
        { "connections_refused", this->stats.connectionsRefused },
        { "connections_peak", this->stats.connectionsPeak },
        { "in_flight", this->inFlight },
        { "in_flight_peak", this->stats.inFlightPeak },
        { "cold_peak", this->stats.coldPeak },
        { "slots", this->usableSlots() },
        { "incarnation", this->incarnation },
        { "operations_repeated", this->stats.operationsRepeated },
        { "operations", this->stats.operations },
    };
    return document.dump() + "\n";
}

bool UpstreamEndpoint::shouldFailNext()
{
    return std::uniform_real_distribution<>(0, 1)(this->random) < this->faults.errorRate;
}

void UpstreamEndpoint::countRequest(const std::string &operationKey)
{
    ++this->stats.requests;
    if (operationKey.empty()) {
        return;
    }
    const auto count = ++this->stats.operations[operationKey];
    this->stats.operationsRepeated += count > 1 ? 1 : 0;
}

asio::awaitable<void> UpstreamEndpoint::acceptConnections()
{
    while (this->acceptor.is_open()) {
        auto [ec, accepted] = co_await this->acceptor.async_accept(WithError);
        if (ec) {
            continue;
        }
        if (this->connections.size() >= this->options.maxConnections) {
            ++this->stats.connectionsRefused;
            continue;
        }
        const auto socket = std::make_shared<asio::ip::tcp::socket>(std::move(accepted));
        this->connections.insert(socket);
        ++this->stats.connectionsMade;
        this->stats.connectionsPeak =
            std::max(this->stats.connectionsPeak, this->connections.size());
        asio::co_spawn(
            this->ioContext,
            [self = this->shared_from_this(), socket] { return self->serve(socket); },
            asio::detached);
    }
}

asio::awaitable<void> UpstreamEndpoint::serve(std::shared_ptr<asio::ip::tcp::socket> socket)
{
    asio::steady_timer timer(this->ioContext, this->options.connectCost);
    co_await timer.async_wait(WithError);
    const auto session = std::make_shared<UpstreamSession>(*this, socket);
    co_await session->run();
    error_code ignored;
    socket->close(ignored);
    this->connections.erase(socket);
}

std::size_t UpstreamEndpoint::usableSlots() const
{
    if (!this->isCold()) {
        return this->options.slots;
    }
    const std::chrono::duration<double> age = std::chrono::steady_clock::now() - this->startedAt;
    const double part = age / std::chrono::duration<double>(this->ramp);
    const auto slots = static_cast<std::size_t>(part * static_cast<double>(this->options.slots));
    return std::clamp<std::size_t>(slots, 1, this->options.slots);
}

bool UpstreamEndpoint::isCold() const
{
    return std::chrono::steady_clock::now() - this->startedAt < this->ramp;
}

void UpstreamEndpoint::occupySlot()
{
    ++this->inFlight;
    this->stats.inFlightPeak = std::max(this->stats.inFlightPeak, this->inFlight);
    if (this->isCold()) {
        this->stats.coldPeak = std::max(this->stats.coldPeak, this->inFlight);
    }
}

} // namespace damaskgate::standins
