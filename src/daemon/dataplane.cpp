#include "dataplane.h"

#include <chrono>
#include <utility>

#include <boost/asio/post.hpp>

namespace damaskgate::daemon {

namespace {

constexpr std::chrono::milliseconds TickPeriod { 5 };
constexpr std::chrono::milliseconds HaltCheckPeriod { 10 };
constexpr int MaxHaltChecks = 200;

entry::EntryOptions optionsFor(const settings::HostSettings &host, std::uint64_t incarnation)
{
    entry::EntryOptions options;
    options.host = host.name;
    options.incarnation = incarnation;
    options.fleetSecret = host.fleetSecret;
    return options;
}

} // namespace

DataPlane::DataPlane(const Dependencies &dependencies, const settings::HostSettings &host,
                     std::uint64_t incarnation)
    : workGuard(boost::asio::make_work_guard(this->context)), tickTimer(this->context),
      haltTimer(this->context), host(host), loadBalancer(dependencies.clock, incarnation),
      fleetLookup(incarnation), recorder(dependencies.registry, dependencies.events),
      server(this->context,
             entry::EntryDependencies { dependencies.clock, dependencies.settings,
                                        dependencies.admission, this->loadBalancer,
                                        dependencies.events, this->fleetLookup, this->recorder,
                                        &dependencies.gate },
             optionsFor(host, incarnation))
{}

DataPlane::~DataPlane()
{
    this->halt();
}

core::Result<void> DataPlane::start()
{
    const auto port = this->server.listen(this->host.address, this->host.callerPort);
    if (!port) {
        return tl::unexpected(port.error());
    }
    this->scheduleTick();
    this->thread = std::thread([this] { this->run(); });
    return {};
}

void DataPlane::drain(std::function<void()> done)
{
    this->post([this, done = std::move(done)] { this->server.drain(done); });
}

void DataPlane::halt()
{
    if (!this->thread.joinable()) {
        return;
    }
    this->post([this] {
        this->server.stop();
        this->stopWhenDisconnected(MaxHaltChecks);
    });
    this->thread.join();
}

void DataPlane::applySettings(const settings::SettingsPtr &settings)
{
    this->post([this, settings] { this->loadBalancer.applySettings(settings); });
}

void DataPlane::applyLiveHosts(std::vector<settings::Host> hosts)
{
    this->post([this, hosts = std::move(hosts)] { this->fleetLookup.setHosts(hosts); });
}

void DataPlane::post(std::function<void()> task)
{
    boost::asio::post(this->context, std::move(task));
}

void DataPlane::addTickTask(std::function<void()> task)
{
    this->tickTasks.push_back(std::move(task));
}

balance::Balancer &DataPlane::balancer()
{
    return this->loadBalancer;
}

FleetLookup &DataPlane::lookup()
{
    return this->fleetLookup;
}

void DataPlane::scheduleTick()
{
    this->tickTimer.expires_after(TickPeriod);
    this->tickTimer.async_wait([this](const boost::system::error_code &error) {
        if (error) {
            return;
        }
        this->loadBalancer.tick();
        for (const auto &task : this->tickTasks) {
            task();
        }
        this->scheduleTick();
    });
}

//! NOTE Exchanges release their slots at the balancer when they end, so all connections must be
//! closed before the balancer is destroyed.
void DataPlane::stopWhenDisconnected(int checksLeft)
{
    if (this->server.connectionCount() == 0 || checksLeft == 0) {
        this->context.stop();
        return;
    }
    this->haltTimer.expires_after(HaltCheckPeriod);
    this->haltTimer.async_wait([this, checksLeft](const boost::system::error_code & /*error*/) {
        this->stopWhenDisconnected(checksLeft - 1);
    });
}

void DataPlane::run()
{
    this->context.run();
}

} // namespace damaskgate::daemon
