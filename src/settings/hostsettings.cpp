#include "damaskgate/settings/hostsettings.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "fieldvalue.h"
#include "jsontext.h"

namespace damaskgate::settings {

namespace {

using nlohmann::json;

constexpr std::size_t MinSecretBytes = 16;
constexpr std::array<std::string_view, 5> LogLevels { "debug", "info", "warn", "error", "off" };

//! File that is being parsed and the list of its findings.
struct Context
{
    const std::filesystem::path &file;
    std::string name;
    Findings &findings;

    void report(const std::string &path, const std::string &message) const
    {
        this->findings.push_back({ this->name, path, message });
    }

    FieldValue field(const json &value, const std::string &path) const
    {
        return { value, this->name, path, this->findings };
    }
};

template <typename Target>
struct ObjectRule
{
    std::string_view name;
    bool isRequired;
    void (*read)(const Context &, const json &, const std::string &path, Target &);
};

template <typename Target, std::size_t N>
void readObject(const Context &context, const json &object, const std::string &path,
                const std::array<ObjectRule<Target>, N> &rules, Target &target)
{
    if (!object.is_object()) {
        context.report(path, "expected an object, found " + describeType(object));
        return;
    }
    for (const auto &[name, value] : object.items()) {
        const auto *rule = std::ranges::find(rules, name, &ObjectRule<Target>::name);
        if (rule == rules.end()) {
            context.report(childPath(path, name),
                           "expected a known field, found an unknown field name");
            continue;
        }
        rule->read(context, value, childPath(path, name), target);
    }
    for (const ObjectRule<Target> &rule : rules) {
        if (rule.isRequired && !object.contains(rule.name)) {
            context.report(childPath(path, rule.name), "expected a value, found none");
        }
    }
}

template <typename Target, std::size_t N>
void readList(const Context &context, const json &list, const std::string &path,
              const std::array<ObjectRule<Target>, N> &rules, std::vector<Target> &out)
{
    if (!list.is_array()) {
        context.report(path, "expected a list, found " + describeType(list));
        return;
    }
    for (const json &element : list) {
        const std::string elementPath = childPath(path, std::to_string(out.size()));
        readObject(context, element, elementPath, rules, out.emplace_back());
    }
}

constexpr std::array SocketAddressRules {
    ObjectRule<SocketAddress> { "address", true,
                                [](const Context &context, const json &value,
                                   const std::string &path, SocketAddress &target) {
                                    context.field(value, path).readAddress(target.address);
                                } },
    ObjectRule<SocketAddress> { "port", true,
                                [](const Context &context, const json &value,
                                   const std::string &path, SocketAddress &target) {
                                    context.field(value, path).readInteger(target.port, 1);
                                } },
};

constexpr std::array SeedPeerRules {
    ObjectRule<SeedPeer> {
        "host", true,
        [](const Context &context, const json &value, const std::string &path, SeedPeer &target) {
            context.field(value, path).readName(target.host);
        } },
    ObjectRule<SeedPeer> {
        "address", true,
        [](const Context &context, const json &value, const std::string &path, SeedPeer &target) {
            context.field(value, path).readAddress(target.address.address);
        } },
    ObjectRule<SeedPeer> {
        "port", true,
        [](const Context &context, const json &value, const std::string &path, SeedPeer &target) {
            context.field(value, path).readInteger(target.address.port, 1);
        } },
};

void checkSecret(const Context &context, const std::string &path, const std::string &secret)
{
    if (secret.size() < MinSecretBytes) {
        context.report(path, "expected at least " + std::to_string(MinSecretBytes) + " characters");
    }
}

void readSecret(const Context &context, const json &value, const std::string &path,
                HostSettings &target)
{
    if (!value.is_string()) {
        context.report(path, "expected a string, found " + describeType(value));
        return;
    }
    target.fleetSecret = value.get<std::string>();
    checkSecret(context, path, target.fleetSecret);
}

void readSecretFile(const Context &context, const json &value, const std::string &path,
                    HostSettings &target)
{
    std::string name;
    context.field(value, path).readText(name);
    std::ifstream stream(context.file.parent_path() / name);
    if (name.empty() || !stream || !std::getline(stream, target.fleetSecret)) {
        context.report(path, "expected a readable file with the secret in its first line");
        return;
    }
    checkSecret(context, path, target.fleetSecret);
}

void readLogLevel(const Context &context, const json &value, const std::string &path,
                  HostSettings &target)
{
    context.field(value, path).readText(target.logLevel);
    if (std::ranges::find(LogLevels, target.logLevel) == LogLevels.end()) {
        context.report(path, "expected debug, info, warn, error or off");
    }
}

constexpr std::array HostRules {
    ObjectRule<HostSettings> { "name", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readName(target.name);
                               } },
    ObjectRule<HostSettings> { "domain", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readName(target.domain);
                               } },
    ObjectRule<HostSettings> { "address", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readAddress(target.address);
                               } },
    ObjectRule<HostSettings> { "callerPort", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readInteger(target.callerPort, 1);
                               } },
    ObjectRule<HostSettings> { "peerPort", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readInteger(target.peerPort, 1);
                               } },
    ObjectRule<HostSettings> { "operatorPort", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   context.field(value, path).readInteger(target.operatorPort, 1);
                               } },
    ObjectRule<HostSettings> { "platform", true,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   readList(context, value, path, SocketAddressRules,
                                            target.platform);
                               } },
    ObjectRule<HostSettings> { "seedPeers", false,
                               [](const Context &context, const json &value,
                                  const std::string &path, HostSettings &target) {
                                   readList(context, value, path, SeedPeerRules, target.seedPeers);
                               } },
    ObjectRule<HostSettings> { "fleetSecret", false, readSecret },
    ObjectRule<HostSettings> { "fleetSecretFile", false, readSecretFile },
    ObjectRule<HostSettings> { "logLevel", false, readLogLevel },
};

void checkConsistency(const Context &context, const json &document, const HostSettings &host)
{
    if (document.contains("fleetSecret") == document.contains("fleetSecretFile")) {
        context.report("", "expected either fleetSecret or fleetSecretFile");
    }
    if (document.contains("platform") && host.platform.empty()) {
        context.report("/platform", "expected at least one address");
    }
    const std::set<std::uint16_t> ports { host.callerPort, host.peerPort, host.operatorPort };
    if (!ports.contains(0) && ports.size() != 3) {
        context.report("", "expected callerPort, peerPort and operatorPort to differ");
    }
}

} // namespace

tl::expected<HostSettings, Findings> parseHostSettings(std::string_view text,
                                                       const std::filesystem::path &file)
{
    Findings findings;
    const Context context { file, file.string(), findings };
    const auto document = parseJson(text, context.name, findings);
    if (!document) {
        return tl::unexpected(std::move(findings));
    }
    HostSettings host;
    readObject(context, *document, "", HostRules, host);
    if (document->is_object()) {
        checkConsistency(context, *document, host);
    }
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    return host;
}

tl::expected<HostSettings, Findings> loadHostSettings(const std::filesystem::path &file)
{
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return tl::unexpected(Findings { { file.string(), "", "expected a readable file" } });
    }
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    return parseHostSettings(text, file);
}

} // namespace damaskgate::settings
