#include "daemon.h"

#include <chrono>
#include <csignal>
#include <functional>
#include <string>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include "damaskgate/limits/limiterservice.h"
#include "damaskgate/metrics/operatorserver.h"
#include "damaskgate/metrics/registry.h"
#include "damaskgate/peer/incarnation.h"
#include "damaskgate/supervise/asioscheduler.h"
#include "damaskgate/supervise/supervisor.h"
#include "damaskgate/timeline/eventlog.h"

#include "controlplane.h"
#include "dataplane.h"
#include "functioncomponent.h"
#include "upstreamplane.h"

namespace damaskgate::daemon {

namespace {

// Added to LookupTimeToLive. Draining starts after the sum of both, when the look-up responses that
// list this host have expired at the callers.
constexpr std::chrono::seconds LeaveMargin { 1 };
constexpr std::chrono::minutes DrainLimit { 5 };

} // namespace

class Daemon::Impl
{
public:
    Impl(const settings::HostSettings &host, const CommandLine &commandLine);

    int run();

private:
    void connectComponents();
    void addComponents();
    void addOperatorComponent();
    void onSignal(int number);
    void startLeaving();
    void exitWith(ExitCode code);
    nlohmann::json describeSettings() const;
    nlohmann::json describeMembers() const;
    nlohmann::json describeTraffic() const;
    nlohmann::json describeComponents() const;

    settings::HostSettings host;
    std::uint64_t incarnation;
    core::SystemClock clock;
    boost::asio::io_context context { 1 };
    timeline::EventLog events;
    metrics::Registry registry;
    ServingGate gate;
    ControlPlane control;
    limits::LimiterService limiter;
    DataPlane data;
    UpstreamPlane upstreams;
    metrics::OperatorServer operatorServer;
    supervise::AsioScheduler scheduler;
    supervise::Supervisor root;
    boost::asio::signal_set signals;
    boost::asio::steady_timer leaveTimer;
    bool isLeaving = false;
    int exitCode = 0;
};

Daemon::Impl::Impl(const settings::HostSettings &host, const CommandLine &commandLine)
    : host(host), incarnation(peer::makeIncarnation()),
      events(timeline::EventLogOptions { host.name, this->incarnation, commandLine.logFile }),
      gate(this->clock),
      control({ this->context, this->clock, this->events, this->gate }, host, this->incarnation),
      limiter(lease::HolderId { host.name, this->incarnation }, this->control.leases(), this->clock,
              this->control.network(), this->events,
              [this](std::function<void()> task) { this->data.post(std::move(task)); }),
      data({ this->clock, this->control.settingsStore(), this->events, this->registry, this->gate,
             this->limiter },
           host, this->incarnation),
      upstreams({ this->context, this->clock, this->events, this->control.network(),
                  this->control.leases(), this->data },
                host.name, this->incarnation),
      operatorServer(this->context, this->registry), scheduler(this->context),
      root({ "root", supervise::Strategy::RestForOne, {} }, this->scheduler, this->clock,
           this->events),
      signals(this->context, SIGTERM, SIGINT), leaveTimer(this->context)
{
    this->connectComponents();
    this->addComponents();
}

void Daemon::Impl::connectComponents()
{
    this->control.settingsStore().addListener([this](const settings::SettingsPtr &settings) {
        this->data.applySettings(settings);
        this->limiter.applySettings(settings);
        this->upstreams.applySettings(settings);
    });
    this->data.addTickTask([this] { this->limiter.tick(); });
    this->data.lookup().setPreferredHostsFinder([this](const core::WorkspaceName &workspace) {
        return this->control.leases().preferredHosts(limits::partitionOf(workspace));
    });
    this->control.setLiveHostsListener(
        [this](std::vector<settings::Host> hosts) { this->data.applyLiveHosts(std::move(hosts)); });
    this->operatorServer.addStatus("settings", [this] { return this->describeSettings(); });
    this->operatorServer.addStatus("members", [this] { return this->describeMembers(); });
    this->operatorServer.addStatus("traffic", [this] { return this->describeTraffic(); });
    this->operatorServer.addStatus("parts", [this] { return this->describeComponents(); });
    this->operatorServer.setEvents(
        [this](std::size_t limit) { return this->events.latest(limit); });
}

void Daemon::Impl::addComponents()
{
    this->addOperatorComponent();
    this->root.addChild("control",
                        std::make_unique<FunctionComponent>(FunctionComponent::Functions {
                            [this] { return this->control.start(); },
                            [this](const std::function<void()> &done) {
                                this->control.halt();
                                done();
                            },
                            [this] { this->control.halt(); },
                        }));
    this->root.addChild("upstreams",
                        std::make_unique<FunctionComponent>(FunctionComponent::Functions {
                            [this]() -> core::Result<void> {
                                this->upstreams.start();
                                return {};
                            },
                            [this](const std::function<void()> &done) {
                                this->upstreams.stop();
                                done();
                            },
                            [this] { this->upstreams.stop(); },
                        }));
    this->root.addChild("data",
                        std::make_unique<FunctionComponent>(FunctionComponent::Functions {
                            [this] { return this->data.start(); },
                            [this](const std::function<void()> &done) {
                                this->data.drain([this, done] {
                                    boost::asio::post(this->context, [this, done] {
                                        this->data.halt();
                                        done();
                                    });
                                });
                            },
                            [this] { this->data.halt(); },
                        }),
                        supervise::ChildOptions { supervise::RestartRule::Permanent, DrainLimit });
}

void Daemon::Impl::addOperatorComponent()
{
    this->root.addChild("operators",
                        std::make_unique<FunctionComponent>(FunctionComponent::Functions {
                            [this]() -> core::Result<void> {
                                const auto port = this->operatorServer.listen(
                                    this->host.address, this->host.operatorPort);
                                return port ? core::Result<void> {} : tl::unexpected(port.error());
                            },
                            [this](const std::function<void()> &done) {
                                this->operatorServer.close();
                                done();
                            },
                            [this] { this->operatorServer.close(); },
                        }));
}

int Daemon::Impl::run()
{
    this->events.record({ "process-started",
                          { { "version", DAMASKGATE_VERSION },
                            { "domain", this->host.domain.text() },
                            { "address", this->host.address },
                            { "caller_port", this->host.callerPort } } });
    this->signals.async_wait([this](const boost::system::error_code &error, int number) {
        if (!error) {
            this->onSignal(number);
        }
    });
    const auto startResult = this->root.start([this](supervise::ExitKind, const std::string &) {
        this->exitCode = supervise::SupervisionExitCode;
        this->context.stop();
    });
    if (!startResult) {
        this->events.record({ "start-failed", { { "detail", startResult.error().detail } } });
        this->events.flush();
        return static_cast<int>(ExitCode::Unavailable);
    }
    this->context.run();
    this->root.halt();
    this->events.record({ "process-stopped", { { "exit_code", this->exitCode } } });
    this->events.flush();
    return this->exitCode;
}

void Daemon::Impl::onSignal(int number)
{
    this->events.record({ "signal-received", { { "number", number } } });
    if (this->isLeaving) {
        this->exitWith(ExitCode::ForcedStop);
        return;
    }
    this->isLeaving = true;
    this->signals.async_wait([this](const boost::system::error_code &error, int again) {
        if (!error) {
            this->onSignal(again);
        }
    });
    this->startLeaving();
}

void Daemon::Impl::startLeaving()
{
    this->control.announceLeaving();
    this->leaveTimer.expires_after(LookupTimeToLive + LeaveMargin);
    this->leaveTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            this->events.record({ "drain-started", {} });
            this->root.stop([this] { this->exitWith(ExitCode::Ok); });
        }
    });
}

void Daemon::Impl::exitWith(ExitCode code)
{
    this->exitCode = static_cast<int>(code);
    this->context.stop();
}

nlohmann::json Daemon::Impl::describeSettings() const
{
    const settings::SettingsPtr settings = this->control.settingsStore().current();
    if (!settings) {
        return nullptr;
    }
    return { { "revision", settings->revision.number }, { "hash", settings->revision.hash } };
}

nlohmann::json Daemon::Impl::describeMembers() const
{
    nlohmann::json live = nlohmann::json::array();
    for (const core::HostName &name : this->control.membership().table().liveHosts()) {
        live.push_back(name.text());
    }
    return { { "live", live } };
}

nlohmann::json Daemon::Impl::describeTraffic() const
{
    const peer::PeerTraffic traffic = this->control.network().traffic();
    return { { "sent_datagrams", traffic.sentDatagrams },
             { "sent_bytes", traffic.sentBytes },
             { "received_datagrams", traffic.receivedDatagrams },
             { "received_bytes", traffic.receivedBytes } };
}

nlohmann::json Daemon::Impl::describeComponents() const
{
    nlohmann::json components = nlohmann::json::array();
    for (const supervise::ChildStatus &child : this->root.status()) {
        components.push_back({ { "name", child.name },
                               { "running", child.isRunning },
                               { "restarts", child.restarts } });
    }
    return components;
}

Daemon::Daemon(const settings::HostSettings &host, const CommandLine &commandLine)
    : impl(std::make_unique<Impl>(host, commandLine))
{}

Daemon::~Daemon() = default;

int Daemon::run()
{
    return this->impl->run();
}

} // namespace damaskgate::daemon
