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

/** Orders published settings: the higher revision wins, then the higher hash. */
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
    std::string address; //!< IP number
    std::uint16_t callerPort = 0; //!< HTTP, for callers
    std::uint16_t peerPort = 0; //!< UDP datagrams and TCP RPC, for other hosts
    std::uint16_t operatorPort = 0; //!< HTTP, for metrics and status
    bool isInService = true;
};

/** A customer of the fleet, limited by a rate and a burst that count over all hosts. */
struct Workspace
{
    core::WorkspaceName name;
    double ratePerSecond = 0;
    double burst = 0; //!< requests
    std::uint32_t weight = 1; //!< share of the queues in front of a busy service
    std::vector<core::Sha256> keyHashes; //!< keys in force
    std::optional<std::uint32_t> priority {}; //!< takes precedence over that of the route
};

/** A service that gets a share of a route's requests. */
struct WeightedService
{
    core::ServiceName service;
    double weight = 0; //!< relative to the other services of the route
};

/** Maps requests to a service; the longest matching path prefix wins. */
struct Route
{
    core::RouteName name;
    std::string host; //!< name that requests are addressed to; empty: any
    std::string pathPrefix;
    std::vector<std::string> methods; //!< empty: all
    core::ServiceName service;
    std::vector<WeightedService> split; //!< shares the requests out; empty: all go to service
    std::vector<core::WorkspaceName> workspaces; //!< that may use the route; empty: all
    bool isOpen = false; //!< needs no key
    bool isRepeatable = true; //!< may be sent to an upstream more than once
    bool isRepeatableByAnyMethod = false; //!< else only with methods that are idempotent
    bool isDeferrable = false; //!< gives way while the service is busy
    core::Duration timeout {}; //!< for the whole exchange
    core::Duration latencyObjective {}; //!< zero: none
    std::uint32_t priority = 0; //!< rank among requests; the lowest goes first
    std::uint32_t maxAttempts = 0; //!< endpoints tried for one request; zero: the entry's limit
};

struct Endpoint
{
    core::EndpointName name;
    core::DomainName domain;
    std::string address; //!< IP number
    std::uint16_t port = 0;
    bool isInService = true;
};

/** A group of equal upstream endpoints. */
struct Service
{
    core::ServiceName name;
    std::uint32_t slots = 1; //!< requests that one endpoint works on at the same time
    std::uint32_t connections = 400; //!< connections that one endpoint accepts
    double healthyFloor = 0.5; //!< fraction of the endpoints that ejection leaves in use
    core::Duration rampTime {}; //!< from cold to full load
    std::uint32_t queueLimit = 64; //!< requests waiting in one entry host
    core::Duration probeInterval {};
    double coldRatePerSecond = 0; //!< requests that a cold endpoint bears; zero: no limit known
    std::string healthPath;
    std::map<core::EndpointName, Endpoint> endpoints;
};

/** The whole settings tree with inheritance applied; immutable once it is in force. */
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
 * @param member a Host or an Endpoint
 * @return whether @p member and its failure domain are in service; checked settings name no unknown
 *         domain
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
