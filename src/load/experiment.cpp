#include "damaskgate/load/experiment.h"

#include <algorithm>
#include <charconv>
#include <set>

#include <nlohmann/json.hpp>

namespace damaskgate::load {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::milliseconds DefaultTimeout { 5000 };
constexpr std::size_t DefaultMaxInFlight { 4000 };

/** Thrown in this file only; parseExperiment() returns its detail as an error. */
struct FieldError
{
    std::string detail;
};

core::Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

void checkFields(const Json &object, const std::string &where, const std::set<std::string> &known)
{
    if (!object.is_object()) {
        throw FieldError { where + ": expected an object" };
    }
    for (const auto &[key, value] : object.items()) {
        if (!known.contains(key)) {
            throw FieldError { std::string(where).append(": unknown field ").append(key) };
        }
    }
}

template <typename T>
T required(const Json &object, const std::string &where, const char *key)
{
    if (!object.contains(key)) {
        throw FieldError { where + ": field " + key + " is missing" };
    }
    try {
        return object.at(key).get<T>();
    } catch (const Json::exception &) {
        throw FieldError { where + ": field " + key + " has the wrong type" };
    }
}

template <typename T>
T optional(const Json &object, const std::string &where, const char *key, T fallback)
{
    return object.contains(key) ? required<T>(object, where, key) : fallback;
}

Address parseAddress(std::string_view text, const std::string &where)
{
    const std::size_t colon = text.rfind(':');
    Address address;
    if (colon != std::string_view::npos) {
        address.host = text.substr(0, colon);
        const std::string_view port = text.substr(colon + 1);
        std::from_chars(port.data(), port.data() + port.size(), address.port);
    }
    if (address.port == 0 || address.host.empty()) {
        throw FieldError { where + ": expected address:port, got " + std::string(text) };
    }
    return address;
}

std::vector<Address> parseAddresses(const Json &list, const std::string &where)
{
    std::vector<Address> addresses;
    for (const Json &item : list) {
        addresses.push_back(parseAddress(item.get<std::string>(), where));
    }
    return addresses;
}

LoadWorkspace parseWorkspace(const Json &item)
{
    const std::string where = "workspaces";
    checkFields(item, where, { "name", "key", "rate_per_second", "burst", "callers" });
    return { required<std::string>(item, where, "name"),
             optional<std::string>(item, where, "key", ""),
             optional<double>(item, where, "rate_per_second", 0),
             optional<double>(item, where, "burst", 0),
             std::max(1U, optional<std::uint32_t>(item, where, "callers", 1)) };
}

LoadRoute parseRoute(const Json &item)
{
    const std::string where = "routes";
    checkFields(item, where, { "name", "method", "path", "service", "body_bytes", "repeatable" });
    return { required<std::string>(item, where, "name"),
             optional<std::string>(item, where, "method", "GET"),
             required<std::string>(item, where, "path"),
             optional<std::string>(item, where, "service", ""),
             optional<std::size_t>(item, where, "body_bytes", 0),
             optional<bool>(item, where, "repeatable", true) };
}

template <typename T>
std::size_t indexOf(const std::vector<T> &items, const std::string &name, const std::string &where)
{
    const auto found = std::ranges::find(items, name, &T::name);
    if (found == items.end()) {
        throw FieldError { where + ": unknown name " + name };
    }
    return static_cast<std::size_t>(found - items.begin());
}

MixItem parseMixItem(const Json &item, const Experiment &experiment)
{
    const std::string where = "phases.mix";
    checkFields(item, where, { "workspace", "route", "per_second" });
    const auto perSecond = required<double>(item, where, "per_second");
    if (perSecond <= 0) {
        throw FieldError { where + ": per_second must be above zero" };
    }
    return { indexOf(experiment.workspaces, required<std::string>(item, where, "workspace"), where),
             indexOf(experiment.routes, required<std::string>(item, where, "route"), where),
             perSecond };
}

Phase parsePhase(const Json &item, const Experiment &experiment)
{
    const std::string where = "phases";
    checkFields(item, where, { "name", "seconds", "mix" });
    Phase phase { required<std::string>(item, where, "name"),
                  fromSeconds(required<double>(item, where, "seconds")),
                  {} };
    for (const Json &entry : required<Json>(item, where, "mix")) {
        phase.mix.push_back(parseMixItem(entry, experiment));
    }
    return phase;
}

Action parseAction(const Json &item)
{
    const std::string where = "actions";
    checkFields(item, where, { "at_seconds", "method", "address", "target", "body" });
    const Json body = optional<Json>(item, where, "body", "");
    return { fromSeconds(required<double>(item, where, "at_seconds")),
             optional<std::string>(item, where, "method", "POST"),
             parseAddress(required<std::string>(item, where, "address"), where),
             required<std::string>(item, where, "target"),
             body.is_string() ? body.get<std::string>() : body.dump() };
}

Experiment readExperiment(const Json &root)
{
    const std::string where = "experiment";
    checkFields(root, where,
                { "seed", "arrivals", "timeout_ms", "warmup_seconds", "max_in_flight", "entries",
                  "endpoints", "workspaces", "routes", "phases", "actions" });
    Experiment result;
    result.seed = optional<std::uint64_t>(root, where, "seed", 1);
    const auto arrivals = optional<std::string>(root, where, "arrivals", "poisson");
    if (arrivals != "poisson" && arrivals != "constant") {
        throw FieldError { where + ": arrivals must be poisson or constant" };
    }
    result.isPoisson = arrivals == "poisson";
    result.timeout = std::chrono::milliseconds(
        optional<std::int64_t>(root, where, "timeout_ms", DefaultTimeout.count()));
    result.warmup = fromSeconds(optional<double>(root, where, "warmup_seconds", 0));
    result.maxInFlight = optional<std::size_t>(root, where, "max_in_flight", DefaultMaxInFlight);
    result.entries = parseAddresses(optional(root, where, "entries", Json::array()), "entries");
    const Json endpoints = optional(root, where, "endpoints", Json::object());
    for (const auto &[service, list] : endpoints.items()) {
        result.endpoints[service] = parseAddresses(list, "endpoints." + service);
    }
    std::ranges::transform(required<Json>(root, where, "workspaces"),
                           std::back_inserter(result.workspaces), parseWorkspace);
    std::ranges::transform(required<Json>(root, where, "routes"), std::back_inserter(result.routes),
                           parseRoute);
    for (const Json &phase : required<Json>(root, where, "phases")) {
        result.phases.push_back(parsePhase(phase, result));
    }
    std::ranges::transform(optional(root, where, "actions", Json::array()),
                           std::back_inserter(result.actions), parseAction);
    return result;
}

} // namespace

std::string toText(const Address &address)
{
    return address.host + ':' + std::to_string(address.port);
}

core::Result<Experiment> parseExperiment(std::string_view text)
{
    try {
        return readExperiment(Json::parse(text));
    } catch (const FieldError &error) {
        return core::notRun(core::Reason::SettingsInvalid, error.detail);
    } catch (const Json::exception &error) {
        return core::notRun(core::Reason::SettingsInvalid, error.what());
    }
}

} // namespace damaskgate::load
