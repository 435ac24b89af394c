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
    std::string host; //!< IP number
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const = default;
};

/** @return @p address as `host:port`. */
std::string toText(const Address &address);

struct LoadWorkspace
{
    std::string name;
    std::string key;
    double ratePerSecond = 0; //!< as in its settings; zero: refusals are never called wrongful
    double burst = 0;
    std::uint32_t callers = 1; //!< each with its own look-up and connections
};

struct LoadRoute
{
    std::string name;
    std::string method;
    std::string path;
    std::string service; //!< endpoints of a direct run
    std::size_t bodyBytes = 0;
    bool isRepeatable = true;
};

/** One stream of requests. */
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

/** An HTTP call made at a given time, such as a fault switched on in a stand-in. */
struct Action
{
    core::Duration at {}; //!< since the start
    std::string method;
    Address address;
    std::string target;
    std::string body;
};

/** A whole experiment. */
struct Experiment
{
    std::uint64_t seed = 1;
    bool isPoisson = true; //!< otherwise arrivals are evenly spaced
    core::Duration timeout {}; //!< for one request
    core::Duration warmup {}; //!< from the start; what arrives in it is not reported
    std::size_t maxInFlight = 0;
    std::vector<Address> entries;
    std::map<std::string, std::vector<Address>> endpoints; //!< by service, for direct runs
    std::vector<LoadWorkspace> workspaces;
    std::vector<LoadRoute> routes;
    std::vector<Phase> phases;
    std::vector<Action> actions;
};

/** @return the experiment in the JSON @p text, or SettingsInvalid with the field at fault. */
core::Result<Experiment> parseExperiment(std::string_view text);

} // namespace damaskgate::load
