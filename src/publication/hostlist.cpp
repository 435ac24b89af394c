#include "hostlist.h"

#include <nlohmann/json.hpp>

namespace damaskgate::publication {

namespace {

using nlohmann::json;

std::optional<std::string> textOf(const json &entry, const char *field)
{
    const auto found = entry.find(field);
    if (found == entry.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<ListedHost::State> stateOf(const json &entry)
{
    const auto text = textOf(entry, "state");
    if (text == "live") {
        return ListedHost::State::Live;
    }
    if (text == "leaving") {
        return ListedHost::State::Leaving;
    }
    return std::nullopt;
}

std::optional<ListedHost> parseEntry(const json &entry)
{
    if (!entry.is_object()) {
        return std::nullopt;
    }
    const auto name = textOf(entry, "host");
    const auto address = textOf(entry, "address");
    const auto domain = textOf(entry, "domain");
    const auto state = stateOf(entry);
    if (!name || name->empty() || !address || !domain || !state) {
        return std::nullopt;
    }
    ListedHost host { core::HostName(*name), *address, core::DomainName(*domain), *state, {} };
    const auto incarnation = entry.find("incarnation");
    if (incarnation != entry.end() && incarnation->is_number_unsigned()) {
        host.incarnation = incarnation->get<std::uint64_t>();
    }
    return host;
}

} // namespace

std::optional<std::vector<ListedHost>> parseHostList(std::string_view text)
{
    constexpr bool AllowExceptions = false;
    const json document = json::parse(text, nullptr, AllowExceptions);
    if (!document.is_array()) {
        return std::nullopt;
    }
    std::vector<ListedHost> hosts;
    for (const json &entry : document) {
        if (auto host = parseEntry(entry)) {
            hosts.push_back(std::move(*host));
        }
    }
    return hosts;
}

} // namespace damaskgate::publication
