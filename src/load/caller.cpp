#include "caller.h"

#include <algorithm>

namespace damaskgate::load {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr unsigned HttpVersion = 11;
constexpr unsigned MaxAttempts = 3;
constexpr unsigned StatusOk = 200;
constexpr char LookupTarget[] = "/.damaskgate/v1/entries";
constexpr char OperationKeyField[] = "Operation-Key";

} // namespace

Caller::Caller(asio::any_io_executor executor, const Experiment &experiment,
               const LoadWorkspace &workspace, RunMode mode, std::uint64_t seed)
    : experiment(experiment), workspace(workspace), mode(mode), client(std::move(executor)),
      random(seed)
{}

asio::awaitable<Caller::SendResult> Caller::send(const LoadRoute &route, std::string requestId)
{
    SendResult sent;
    this->lookupFailure.outcome = Outcome::NotConnected;
    const std::vector<Address> targets = co_await this->targetsFor(route);
    sent.result = this->lookupFailure;
    for (const Address &target : targets) {
        if (sent.attempts == MaxAttempts) {
            break;
        }
        ++sent.attempts;
        sent.result = co_await this->sendTo(target, route, requestId);
        if (!isSafeToRetryElsewhere(sent.result, route.isRepeatable)) {
            break;
        }
        this->cache.discardEntries();
    }
    co_return sent;
}

asio::awaitable<std::vector<Address>> Caller::targetsFor(const LoadRoute &route)
{
    if (this->mode == RunMode::ThroughFleet) {
        co_return co_await this->findEntries();
    }
    std::vector<Address> targets;
    const auto found = this->experiment.endpoints.find(route.service);
    if (found != this->experiment.endpoints.end()) {
        targets = found->second;
        std::ranges::shuffle(targets, this->random);
    }
    co_return targets;
}

asio::awaitable<std::vector<Address>> Caller::findEntries()
{
    if (const auto *known = this->cache.entries(this->clock.now())) {
        co_return *known;
    }
    std::vector<Address> entries = this->experiment.entries;
    std::ranges::shuffle(entries, this->random);
    for (const Address &entry : entries) {
        if (co_await this->lookUpAt(entry)) {
            break;
        }
    }
    const auto *found = this->cache.entries(this->clock.now());
    co_return found != nullptr ? *found : std::vector<Address> {};
}

asio::awaitable<bool> Caller::lookUpAt(Address entry)
{
    HttpRequest request(http::verb::get, LookupTarget, HttpVersion);
    request.set(http::field::host, entry.host);
    if (!this->workspace.key.empty()) {
        request.set(http::field::authorization, "Bearer " + this->workspace.key);
    }
    const HttpResponse response =
        co_await this->client.exchange(entry, std::move(request), {}, this->experiment.timeout);
    if (response.result.outcome != Outcome::Answered || response.result.status != StatusOk) {
        this->lookupFailure = response.result;
        co_return false;
    }
    core::Result<LookupResponse> parsed = parseLookupResponse(response.body);
    if (!parsed) {
        co_return false;
    }
    this->cache.store(entry, std::move(*parsed), this->clock.now());
    co_return true;
}

asio::awaitable<std::optional<std::string>> Caller::ticketFor(Address entry)
{
    std::optional<std::string> ticket = this->cache.ticketFor(entry, this->clock.now());
    if (!ticket && co_await this->lookUpAt(entry)) {
        ticket = this->cache.ticketFor(entry, this->clock.now());
    }
    co_return ticket;
}

asio::awaitable<ExchangeResult> Caller::sendTo(Address target, const LoadRoute &route,
                                               std::string requestId)
{
    HttpRequest request = this->makeRequest(route, requestId);
    request.set(http::field::host, target.host);
    if (!route.isRepeatable && this->mode == RunMode::ThroughFleet) {
        const std::optional<std::string> ticket = co_await this->ticketFor(target);
        if (!ticket) {
            co_return this->lookupFailure;
        }
        request.set(OperationKeyField, *ticket + '/' + requestId);
    }
    HttpResponse response = co_await this->client.exchange(target, std::move(request), requestId,
                                                           this->experiment.timeout);
    co_return response.result;
}

HttpRequest Caller::makeRequest(const LoadRoute &route, const std::string &requestId) const
{
    HttpRequest request(http::string_to_verb(route.method), route.path + '/' + requestId,
                        HttpVersion);
    request.set(RequestIdField, requestId);
    if (this->mode == RunMode::ThroughFleet && !this->workspace.key.empty()) {
        request.set(http::field::authorization, "Bearer " + this->workspace.key);
    }
    request.body().assign(route.bodyBytes, 'x');
    request.prepare_payload();
    return request;
}

} // namespace damaskgate::load
