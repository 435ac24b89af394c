#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/entry/dialect.h"
#include "damaskgate/gateway/iplatformadapter.h"
#include "damaskgate/upstreams/endpointselector.h"
#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::gateway {

/** Ports on which a host listens; all on the same IP address. */
struct Ports
{
    std::uint16_t callers = 0; //!< HTTP, requests of callers
    std::uint16_t lookup = 0; //!< HTTP, reports the hosts that callers can use
    std::uint16_t readiness = 0; //!< HTTP, readiness checks of the platform
    std::uint16_t peers = 0; //!< HTTP, copies of the mirror for other hosts, and metrics
    std::uint16_t datagrams = 0; //!< UDP, messages between hosts

    bool operator==(const Ports &) const = default;
};

/**
 * Options that a host needs before it can read settings and endpoints from the platform. All hosts
 * of a fleet use the same ports.
 */
struct GatewayOptions
{
    core::HostName name;
    core::DomainName domain;
    std::string address; //!< IP address
    Ports ports;
    std::vector<std::string> seeds; //!< IP addresses of the hosts to contact first
    std::string fleetSecret = "damaskgate"; //!< authenticates the messages between hosts
    entry::Dialect dialect = entry::ownDialect();
    upstreams::RetryLimits retries;
    upstreams::SelectionPolicy selectionPolicy;
    std::chrono::milliseconds lookupTimeToLive { 4000 };
    /** Time between two status reports of an endpoint; several must be missed before it lapses. */
    std::chrono::milliseconds registrationInterval { 1500 };
    std::uint8_t corePercent = 0; //!< CPU limit of the host in percent of one core; 0: unknown
    std::size_t maxConnections = 2900; //!< open connections from callers
    std::chrono::milliseconds stopGrace { 6000 }; //!< longest time from the stop signal to the exit
    std::string sourceAddress; //!< `IP:PORT` of the source that publishes settings and endpoints
};

/**
 * Reads the options again; called when a signal tells of a change and regularly without one.
 *
 * @return nothing if they have not changed since the last call; otherwise the options, or
 *         SettingsInvalid
 */
using OptionsSource = std::function<std::optional<core::Result<GatewayOptions>>()>;

/**
 * A host of a fleet that has no published list of hosts, no leases and no disks. It finds the other
 * hosts through seeds, reads settings and endpoints from the source or from another host, and
 * serves callers. All work runs on one thread.
 */
class Gateway
{
public:
    using PlatformAdapterFactory =
        std::function<std::unique_ptr<IPlatformAdapter>(boost::asio::io_context &)>;

    Gateway(GatewayOptions options, const PlatformAdapterFactory &makePlatformAdapter,
            OptionsSource optionsSource = {});
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Serves until SIGTERM or SIGINT, then drains. @return the exit code of the process */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::gateway
