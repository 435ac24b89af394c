#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "damaskgate/balance/balancer.h"
#include "damaskgate/core/error.h"
#include "damaskgate/core/event.h"
#include "damaskgate/entry/entryserver.h"
#include "damaskgate/metrics/registry.h"
#include "damaskgate/requestlog/requestrecorder.h"
#include "damaskgate/settings/hostsettings.h"
#include "damaskgate/settings/isettingsstore.h"

#include "fleetlookup.h"
#include "servinggate.h"

namespace damaskgate::daemon {

/** Serves requests: entry server, balancer and look-up, run on a separate data thread. */
class DataPlane
{
public:
    struct Dependencies
    {
        const core::IClock &clock;
        settings::ISettingsStore &settings;
        core::IEventSink &events;
        metrics::Registry &registry;
        const ServingGate &gate;
        limits::IAdmission &admission;
    };

    DataPlane(const Dependencies &dependencies, const settings::HostSettings &host,
              std::uint64_t incarnation);
    ~DataPlane();

    DataPlane(const DataPlane &) = delete;
    DataPlane &operator=(const DataPlane &) = delete;

    /** Listens for callers and starts the data thread. */
    core::Result<void> start();

    /** Waits for running exchanges to end, then calls @p done on the data thread. */
    void drain(std::function<void()> done);

    /** Stops the server without draining, and joins the data thread. */
    void halt();

    /** Applies @p settings. Safe to call from any thread. */
    void applySettings(const settings::SettingsPtr &settings);

    /** Replaces the hosts that the look-up can list. Safe to call from any thread. */
    void applyLiveHosts(std::vector<settings::Host> hosts);

    /** Runs @p task on the data thread. Safe to call from any thread. */
    void post(std::function<void()> task);

    /** Adds a task that runs on the data thread at every tick (5 ms). Call before start(). */
    void addTickTask(std::function<void()> task);

    balance::Balancer &balancer();
    FleetLookup &lookup();

private:
    void scheduleTick();
    void stopWhenDisconnected(int checksLeft);
    void run();

    boost::asio::io_context context { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard;
    boost::asio::steady_timer tickTimer;
    boost::asio::steady_timer haltTimer;
    settings::HostSettings host;
    balance::Balancer loadBalancer;
    FleetLookup fleetLookup;
    requestlog::RequestRecorder recorder;
    entry::EntryServer server;
    std::vector<std::function<void()>> tickTasks;
    std::thread thread;
};

} // namespace damaskgate::daemon
