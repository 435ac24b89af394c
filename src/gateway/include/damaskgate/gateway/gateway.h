#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/entry/dialect.h"
#include "damaskgate/gateway/iplatformadapter.h"
#include "damaskgate/upstreams/endpointbook.h"
#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::gateway {

/** Where a host listens; all on one IP number. */
struct Ports
{
    std::uint16_t callers = 0; //!< HTTP
    std::uint16_t lookup = 0; //!< HTTP, callers that ask which hosts to use
    std::uint16_t readiness = 0; //!< HTTP, the platform's own checks
    std::uint16_t peers = 0; //!< TCP, other hosts and metrics
    std::uint16_t datagrams = 0; //!< UDP, other hosts
};

/** What a host must know before it can read what is published. Ports are equal on all hosts. */
struct GatewayOptions
{
    core::HostName name;
    core::DomainName domain;
    std::string address; //!< IP number
    Ports ports;
    std::vector<std::string> seeds; //!< IP numbers of hosts to ask for the others
    std::string fleetSecret = "damaskgate"; //!< authenticates the messages between hosts
    entry::Dialect dialect = entry::ownDialect();
    upstreams::RetryBounds retries;
    upstreams::ChoiceModel selectionPolicy;
    std::chrono::milliseconds lookupTimeToLive { 4000 };
    std::uint8_t corePercent = 0; //!< of a processor core that the host may use; zero: not known
    std::size_t maxConnections = 2900; //!< open connections of callers
    std::chrono::milliseconds stopGrace { 6000 }; //!< from the signal to the end at the latest
};

/**
 * A host of a fleet without a published list of hosts, without leases and without disks: finds the
 * others through seeds, reads settings and endpoints itself or from another host, and serves
 * callers. One thread does all.
 */
class Gateway
{
public:
    using PlatformAdapterFactory =
        std::function<std::unique_ptr<IPlatformAdapter>(boost::asio::io_context &)>;

    Gateway(GatewayOptions options, const PlatformAdapterFactory &makePlatformAdapter);
    ~Gateway();

    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    /** Serves until a signal ends it. @return the exit code of the process */
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::gateway
