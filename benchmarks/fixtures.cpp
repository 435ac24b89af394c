#include "fixtures.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <numeric>

#include "damaskgate/core/hash.h"

namespace damaskgate::bench {

namespace {

constexpr std::size_t DomainCount = 10;
constexpr std::size_t EntriesPerBranch = 1000;

std::string domainOf(std::size_t index)
{
    return "domain-" + std::to_string(index % DomainCount);
}

std::string addressOf(std::size_t index)
{
    return "127." + std::to_string(index / 65536 % 256) + '.' + std::to_string(index / 256 % 256)
        + '.' + std::to_string(index % 256);
}

template <typename Entry>
std::string toEntriesJson(std::size_t first, std::size_t end, Entry entry)
{
    std::string text = "{\"entries\":{";
    for (std::size_t i = first; i < end; ++i) {
        text += i == first ? "" : ",";
        text += entry(i);
    }
    return text + "}}";
}

/** Adds @p count entries in branches well below the largest value that the platform stores. */
template <typename Entry>
void addBranches(Tree &tree, const std::string &kind, std::size_t count, Entry entry)
{
    for (std::size_t first = 0; first < count; first += EntriesPerBranch) {
        const std::size_t end = std::min(count, first + EntriesPerBranch);
        tree.texts[kind + "/part-" + std::to_string(first)] = toEntriesJson(first, end, entry);
    }
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

std::string hostEntry(std::size_t i)
{
    return quoted("host-" + std::to_string(i)) + ":{\"domain\":" + quoted(domainOf(i))
        + ",\"address\":" + quoted(addressOf(i)) + '}';
}

std::string workspaceEntry(std::size_t i)
{
    const std::string digest = core::toHex(core::sha256("key-" + std::to_string(i)));
    return quoted("workspace-" + std::to_string(i)) + ":{\"keys\":[\"sha256:" + digest + "\"]}";
}

std::string routeEntry(std::size_t i, std::size_t services)
{
    return quoted("route-" + std::to_string(i)) + ":{\"path\":" + quoted("/r/" + std::to_string(i))
        + ",\"service\":" + quoted("service-" + std::to_string(i % services)) + '}';
}

std::string endpointEntry(std::size_t i, std::size_t services)
{
    return quoted("endpoint-" + std::to_string(i))
        + ":{\"service\":" + quoted("service-" + std::to_string(i % services))
        + ",\"domain\":" + quoted(domainOf(i)) + ",\"address\":" + quoted(addressOf(i)) + '}';
}

constexpr char Defaults[] = R"({
  "domains": { "region": "r" },
  "hosts": { "callerPort": 18080, "peerPort": 18081, "operatorPort": 18082 },
  "workspaces": { "rate": "50/s", "burst": 25, "weight": 1 },
  "routes": { "repeatable": true, "timeout": "2s" },
  "services": { "slots": 6, "connections": 400, "healthyFloor": 0.5, "rampTime": "20s",
                "queueLimit": 64, "probeInterval": "2s" },
  "endpoints": { "port": 19000 }
})";

} // namespace

settings::TreeFiles Tree::files() const
{
    return { this->texts.begin(), this->texts.end() };
}

std::size_t Tree::bytes() const
{
    return std::accumulate(
        this->texts.begin(), this->texts.end(), std::size_t { 0 },
        [](std::size_t sum, const auto &text) { return sum + text.second.size(); });
}

Tree makeTree(const TreeSize &size)
{
    Tree tree;
    tree.texts["defaults"] = Defaults;
    tree.texts["domains"] =
        toEntriesJson(0, DomainCount, [](std::size_t i) { return quoted(domainOf(i)) + ":{}"; });
    addBranches(tree, "hosts", size.hosts, hostEntry);
    addBranches(tree, "services", size.services,
                [](std::size_t i) { return quoted("service-" + std::to_string(i)) + ":{}"; });
    addBranches(tree, "endpoints", size.endpoints,
                [&size](std::size_t i) { return endpointEntry(i, size.services); });
    addBranches(tree, "routes", size.routes,
                [&size](std::size_t i) { return routeEntry(i, size.services); });
    addBranches(tree, "workspaces", size.workspaces, workspaceEntry);
    return tree;
}

settings::SettingsPtr makeSettings(const TreeSize &size)
{
    const Tree tree = makeTree(size);
    auto parsed = settings::parseTree(tree.files(), {});
    if (!parsed) {
        std::cerr << settings::toText(parsed.error());
        std::abort();
    }
    return std::make_shared<const settings::Settings>(std::move(*parsed));
}

std::vector<core::HostName> makeHosts(std::size_t count)
{
    std::vector<core::HostName> hosts;
    for (std::size_t i = 0; i < count; ++i) {
        hosts.emplace_back("host-" + std::to_string(i));
    }
    return hosts;
}

std::size_t allocatedBytes()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace damaskgate::bench
