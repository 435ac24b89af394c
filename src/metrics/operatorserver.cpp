#include "damaskgate/metrics/operatorserver.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "damaskgate/http/queryserver.h"
#include "damaskgate/metrics/registry.h"

namespace damaskgate::metrics {

namespace {

constexpr std::size_t MaxEventLines { 1000 };
constexpr unsigned NotFoundStatus = 404;

} // namespace

class OperatorServer::Impl
{
public:
    Impl(boost::asio::io_context &context, const Registry &registry)
        : registry(registry),
          server(context, [this](const http::Query &query) { return this->respond(query); })
    {}

    std::map<std::string, StatusCallback> statusCallbacks;
    EventsCallback eventsCallback;

private:
    http::QueryResponse respond(const http::Query &query) const;
    std::string status() const;
    std::string events() const;

    const Registry &registry;

public:
    http::QueryServer server;
};

http::QueryResponse OperatorServer::Impl::respond(const http::Query &query) const
{
    if (query.path == "/metrics") {
        return { 200, "text/plain; version=0.0.4", this->registry.exposition() };
    }
    if (query.path == "/status") {
        return { 200, "application/json", this->status() };
    }
    if (query.path == "/events") {
        return { 200, "text/plain", this->events() };
    }
    return { NotFoundStatus, "text/plain", "try /metrics, /status or /events\n" };
}

std::string OperatorServer::Impl::status() const
{
    nlohmann::json members = nlohmann::json::object();
    for (const auto &[name, callback] : this->statusCallbacks) {
        members[name] = callback();
    }
    return members.dump(2) + '\n';
}

std::string OperatorServer::Impl::events() const
{
    std::string text;
    if (this->eventsCallback) {
        for (const std::string &line : this->eventsCallback(MaxEventLines)) {
            text += line;
            text += '\n';
        }
    }
    return text;
}

OperatorServer::OperatorServer(boost::asio::io_context &context, const Registry &registry)
    : impl(std::make_unique<Impl>(context, registry))
{}

OperatorServer::~OperatorServer()
{
    this->close();
}

void OperatorServer::addStatus(std::string name, StatusCallback callback)
{
    this->impl->statusCallbacks.emplace(std::move(name), std::move(callback));
}

void OperatorServer::setEvents(EventsCallback callback)
{
    this->impl->eventsCallback = std::move(callback);
}

core::Result<std::uint16_t> OperatorServer::listen(const std::string &address, std::uint16_t port)
{
    return this->impl->server.listen(address, port);
}

void OperatorServer::close()
{
    this->impl->server.close();
}

} // namespace damaskgate::metrics
