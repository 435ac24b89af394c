#include "fieldrules.h"

#include <array>

namespace damaskgate::settings {

namespace {

using namespace std::chrono_literals;

constexpr double MinRatePerSecond = 0.001;
constexpr double MaxRatePerSecond = 10'000'000;
constexpr double MaxBurst = 10'000'000;
constexpr std::uint32_t MaxWeight = 1000;
constexpr std::uint32_t MaxSlots = 65'535;
constexpr std::uint32_t MaxConnections = 1'000'000;
constexpr std::uint32_t MaxQueueLimit = 1'000'000;

const std::array DomainRules {
    FieldRule<FailureDomain> { "region", R"("")",
                               [](const FieldValue &value, FailureDomain &domain) {
                                   value.readText(domain.region);
                               } },
    FieldRule<FailureDomain> { "inService", "true",
                               [](const FieldValue &value, FailureDomain &domain) {
                                   value.readBool(domain.isInService);
                               } },
};

const std::array HostRules {
    FieldRule<Host> { "domain", "",
                      [](const FieldValue &value, Host &host) {
                          value.readName(host.domain);
                      } },
    FieldRule<Host> { "address", "",
                      [](const FieldValue &value, Host &host) {
                          value.readAddress(host.address);
                      } },
    FieldRule<Host> { "callerPort", "",
                      [](const FieldValue &value, Host &host) {
                          value.readInteger(host.callerPort, 1);
                      } },
    FieldRule<Host> { "peerPort", "",
                      [](const FieldValue &value, Host &host) {
                          value.readInteger(host.peerPort, 1);
                      } },
    FieldRule<Host> { "operatorPort", "",
                      [](const FieldValue &value, Host &host) {
                          value.readInteger(host.operatorPort, 1);
                      } },
    FieldRule<Host> { "inService", "true",
                      [](const FieldValue &value, Host &host) {
                          value.readBool(host.isInService);
                      } },
};

const std::array WorkspaceRules {
    FieldRule<Workspace> { "rate", "",
                           [](const FieldValue &value, Workspace &workspace) {
                               value.readRate(workspace.ratePerSecond, MinRatePerSecond,
                                              MaxRatePerSecond);
                           } },
    FieldRule<Workspace> { "burst", "",
                           [](const FieldValue &value, Workspace &workspace) {
                               value.readNumber(workspace.burst, 1, MaxBurst);
                           } },
    FieldRule<Workspace> { "weight", "1",
                           [](const FieldValue &value, Workspace &workspace) {
                               value.readInteger(workspace.weight, 1, MaxWeight);
                           } },
    FieldRule<Workspace> { "keys", "[]",
                           [](const FieldValue &value, Workspace &workspace) {
                               value.readKeyHashes(workspace.keyHashes);
                           } },
};

const std::array RouteRules {
    FieldRule<Route> { "path", "",
                       [](const FieldValue &value, Route &route) {
                           value.readPathPrefix(route.pathPrefix);
                       } },
    FieldRule<Route> { "methods", "[]",
                       [](const FieldValue &value, Route &route) {
                           value.readMethods(route.methods);
                       } },
    FieldRule<Route> { "service", "",
                       [](const FieldValue &value, Route &route) {
                           value.readName(route.service);
                       } },
    FieldRule<Route> { "workspaces", "[]",
                       [](const FieldValue &value, Route &route) {
                           value.readNames(route.workspaces);
                       } },
    FieldRule<Route> { "open", "false",
                       [](const FieldValue &value, Route &route) {
                           value.readBool(route.isOpen);
                       } },
    FieldRule<Route> { "repeatable", "",
                       [](const FieldValue &value, Route &route) {
                           value.readBool(route.isRepeatable);
                       } },
    FieldRule<Route> { "deferrable", "false",
                       [](const FieldValue &value, Route &route) {
                           value.readBool(route.isDeferrable);
                       } },
    FieldRule<Route> { "timeout", "",
                       [](const FieldValue &value, Route &route) {
                           value.readDuration(route.timeout, 1ms, 1h);
                       } },
};

const std::array ServiceRules {
    FieldRule<Service> { "slots", "",
                         [](const FieldValue &value, Service &service) {
                             value.readInteger(service.slots, 1, MaxSlots);
                         } },
    FieldRule<Service> { "connections", "400",
                         [](const FieldValue &value, Service &service) {
                             value.readInteger(service.connections, 1, MaxConnections);
                         } },
    FieldRule<Service> { "healthyFloor", "0.5",
                         [](const FieldValue &value, Service &service) {
                             value.readNumber(service.healthyFloor, 0, 1);
                         } },
    FieldRule<Service> { "rampTime", "",
                         [](const FieldValue &value, Service &service) {
                             value.readDuration(service.rampTime, 0s, 1h);
                         } },
    FieldRule<Service> { "queueLimit", "64",
                         [](const FieldValue &value, Service &service) {
                             value.readInteger(service.queueLimit, 0, MaxQueueLimit);
                         } },
    FieldRule<Service> { "probeInterval", "",
                         [](const FieldValue &value, Service &service) {
                             value.readDuration(service.probeInterval, 100ms, 1h);
                         } },
};

const std::array EndpointRules {
    FieldRule<EndpointEntry> { "service", "",
                               [](const FieldValue &value, EndpointEntry &entry) {
                                   value.readName(entry.service);
                               } },
    FieldRule<EndpointEntry> { "domain", "",
                               [](const FieldValue &value, EndpointEntry &entry) {
                                   value.readName(entry.endpoint.domain);
                               } },
    FieldRule<EndpointEntry> { "address", "",
                               [](const FieldValue &value, EndpointEntry &entry) {
                                   value.readAddress(entry.endpoint.address);
                               } },
    FieldRule<EndpointEntry> { "port", "",
                               [](const FieldValue &value, EndpointEntry &entry) {
                                   value.readInteger(entry.endpoint.port, 1);
                               } },
    FieldRule<EndpointEntry> { "inService", "true",
                               [](const FieldValue &value, EndpointEntry &entry) {
                                   value.readBool(entry.endpoint.isInService);
                               } },
};

} // namespace

template <>
std::span<const FieldRule<FailureDomain>> fieldRules()
{
    return DomainRules;
}

template <>
std::span<const FieldRule<Host>> fieldRules()
{
    return HostRules;
}

template <>
std::span<const FieldRule<Workspace>> fieldRules()
{
    return WorkspaceRules;
}

template <>
std::span<const FieldRule<Route>> fieldRules()
{
    return RouteRules;
}

template <>
std::span<const FieldRule<Service>> fieldRules()
{
    return ServiceRules;
}

template <>
std::span<const FieldRule<EndpointEntry>> fieldRules()
{
    return EndpointRules;
}

} // namespace damaskgate::settings
