#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/time.h"

namespace damaskgate::load {

/** A host and port to connect to. */
struct Address
{
    std::string host; //!< IP address
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/** @return @p address as `host:port`. */
std::string toText(const Address &address);

struct LoadWorkspace
{
    std::string name;
    std::string key;
    double ratePerSecond =
        0; //!< request rate in its settings; if zero, refusals aren't checked against it
    double burst = 0; //!< request burst in its settings
    std::uint32_t callers = 1; //!< number of callers, each with its own look-up and connections
};

struct LoadRoute
{
    std::string name;
    std::string method;
    std::string path;
    std::string service; //!< service whose endpoints a direct run uses
    std::size_t bodyBytes = 0;
    bool isRepeatable = true;
};

/** One stream of requests: a workspace calls a route at a mean rate. */
struct MixItem
{
    std::size_t workspace = 0; //!< index into Experiment::workspaces
    std::size_t route = 0; //!< index into Experiment::routes
    double perSecond = 0;
};

struct Phase
{
    std::string name;
    core::Duration length {};
    std::vector<MixItem> mix;
};

/** An HTTP request sent at a given time, for example to switch on a fault in a test upstream. */
struct Action
{
    core::Duration at {}; //!< time since the start of the experiment
    std::string method;
    Address address;
    std::string target;
    std::string body;
};

/** Description of a load experiment. */
struct Experiment
{
    std::uint64_t seed = 1;
    bool isPoisson = true; //!< whether arrivals are a Poisson process or evenly spaced
    core::Duration timeout {}; //!< time limit of connecting, and again of the exchange
    core::Duration warmup {}; //!< time after the start whose arrivals are not reported
    std::size_t maxInFlight = 0;
    std::vector<Address> entries;
    std::map<std::string, std::vector<Address>> endpoints; //!< keyed by service; for direct runs
    std::vector<LoadWorkspace> workspaces;
    std::vector<LoadRoute> routes;
    std::vector<Phase> phases;
    std::vector<Action> actions;
};

/** @return the experiment in the JSON @p text, or SettingsInvalid with the invalid field. */
core::Result<Experiment> parseExperiment(std::string_view text);

} // namespace damaskgate::load
