#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/hash.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::settings {

/** Identifies and orders published settings: by number, then by hash. */
struct Revision
{
    std::uint64_t number = 0;
    std::string hash; //!< SHA-256 of the manifest in hexadecimal

    auto operator<=>(const Revision &) const = default;
};

struct FailureDomain
{
    core::DomainName name;
    std::string region;
    bool isInService = true;
};

/** An entry host of the fleet. */
struct Host
{
    core::HostName name;
    core::DomainName domain;
    std::string address; //!< IP address
    std::uint16_t callerPort = 0; //!< port of the HTTP server for callers
    std::uint16_t peerPort = 0; //!< port for UDP datagrams and TCP RPC between hosts
    std::uint16_t operatorPort = 0; //!< port of the HTTP server for metrics and status
    bool isInService = true;
};

/** A customer of the fleet. Its rate and burst limits apply to the fleet as a whole. */
struct Workspace
{
    core::WorkspaceName name;
    double ratePerSecond = 0;
    double burst = 0; //!< requests
    std::uint32_t weight = 1; //!< relative share of the request queue of a busy service
    std::vector<core::Sha256> keyHashes; //!< hashes of the valid API keys
    std::optional<std::uint32_t> priority {}; //!< overrides the priority of the route
};

/** A service that receives a share of the requests of a route. */
struct WeightedService
{
    core::ServiceName service;
    double weight = 0; //!< relative to the other services of the route
};

/** Maps requests to a service; the longest matching path prefix wins. */
struct Route
{
    core::RouteName name;
    std::string host; //!< host name in the request; empty: any
    std::string pathPrefix;
    std::vector<std::string> methods; //!< empty: all
    core::ServiceName service;
    std::vector<WeightedService> split; //!< shares of the services; empty: service gets all
    std::vector<core::WorkspaceName> workspaces; //!< workspaces that may use the route; empty: all
    bool isOpen = false; //!< requests need no key
    bool isRepeatable = true; //!< a request may be sent to an upstream more than once
    bool isRepeatableByAnyMethod = false; //!< if false, only idempotent methods are repeated
    bool isDeferrable = false; //!< requests yield to others while the service is busy
    core::Duration timeout {}; //!< longest duration of the complete exchange
    core::Duration latencyObjective {}; //!< target latency of a request; zero: no target
    std::uint32_t priority = 0; //!< requests with the lowest value go first
    std::uint32_t maxAttempts = 0; //!< endpoints tried per request; zero: the entry host's limit
};

struct Endpoint
{
    core::EndpointName name;
    core::DomainName domain;
    std::string address; //!< IP address
    std::uint16_t port = 0;
    bool isInService = true;
};

/** A group of interchangeable upstream endpoints. */
struct Service
{
    core::ServiceName name;
    std::uint32_t slots = 1; //!< maximum of concurrent requests at one endpoint
    std::uint32_t connections = 400; //!< connections that one endpoint accepts
    double healthyFloor = 0.5; //!< least fraction of the endpoints that ejection leaves in use
    core::Duration rampTime {}; //!< time from cold start to full load
    std::uint32_t queueLimit = 64; //!< maximum of requests waiting in one entry host
    core::Duration probeInterval {};
    double coldRatePerSecond = 0; //!< requests that a cold endpoint can serve; zero: unknown
    std::string healthPath;
    std::map<core::EndpointName, Endpoint> endpoints;
};

/** The complete settings with inherited defaults applied; immutable once they are in force. */
struct Settings
{
    Revision revision;
    std::map<core::DomainName, FailureDomain> domains;
    std::map<core::HostName, Host> hosts;
    std::map<core::HostName, Host> previousHosts; //!< fleet before the last change of hosts
    std::map<core::WorkspaceName, Workspace> workspaces;
    std::map<core::RouteName, Route> routes;
    std::map<core::ServiceName, Service> services;
};

/**
 * A failure domain that @p settings do not contain counts as in service; validated settings
 * reference only known domains.
 *
 * @param member a Host or an Endpoint
 * @return whether both @p member and its failure domain are in service
 */
template <typename Member>
bool isInService(const Settings &settings, const Member &member)
{
    const auto domain = settings.domains.find(member.domain);
    const bool isDomainInService = domain == settings.domains.end() || domain->second.isInService;
    return member.isInService && isDomainInService;
}

using SettingsPtr = std::shared_ptr<const Settings>;

} // namespace damaskgate::settings
