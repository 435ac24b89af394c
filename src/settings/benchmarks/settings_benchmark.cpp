// Measures the time to parse a settings tree and the memory that the parsed settings occupy, for
// trees with many workspaces, routes or endpoints.

#include <functional>
#include <map>
#include <string>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/settings/settingstree.h"

namespace {

using namespace damaskgate;

using Texts = std::map<std::string, std::string>;

constexpr std::size_t EntriesPerBranch = 2000;

Texts baseTree()
{
    return {
        { "defaults", R"({ "hosts": { "callerPort": 1, "peerPort": 2, "operatorPort": 3 },
            "workspaces": { "rate": "5/s", "burst": 5 },
            "routes": { "repeatable": true, "timeout": "2s", "service": "s" },
            "services": { "slots": 6, "rampTime": "20s", "probeInterval": "2s" },
            "endpoints": { "port": 9000, "service": "s", "domain": "d" } })" },
        { "domains", R"({ "entries": { "d": {} } })" },
        { "hosts", R"({ "entries": { "h": { "domain": "d", "address": "127.0.0.1" } } })" },
        { "services", R"({ "entries": { "s": {} } })" },
    };
}

std::string workspace(std::size_t i)
{
    const std::string name = "workspace-" + std::to_string(i);
    return "\"" + name + R"(":{"keys":["sha256:)" + core::toHex(core::sha256(name)) + "\"]}";
}

std::string route(std::size_t i)
{
    const std::string name = "route-" + std::to_string(i);
    return "\"" + name + R"(":{"path":"/api/)" + name + R"(","methods":["GET"]})";
}

std::string endpoint(std::size_t i)
{
    const std::string address = "10." + std::to_string(i >> 16U) + "."
        + std::to_string(i >> 8U & 255U) + "." + std::to_string(i & 255U);
    return "\"endpoint-" + std::to_string(i) + R"(":{"address":")" + address + "\"}";
}

Texts treeWith(const std::string &kind, const std::function<std::string(std::size_t)> &entry,
               std::size_t count)
{
    Texts texts = baseTree();
    for (std::size_t first = 0; first < count; first += EntriesPerBranch) {
        std::string text = R"({"entries":{)";
        for (std::size_t i = first; i < std::min(first + EntriesPerBranch, count); ++i) {
            text += (i == first ? "" : ",") + entry(i);
        }
        texts[kind + "/part-" + std::to_string(first)] = text + "}}";
    }
    return texts;
}

std::size_t bytesInUse()
{
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void runParse(benchmark::State &state, const std::string &kind,
              const std::function<std::string(std::size_t)> &entry)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const Texts texts = treeWith(kind, entry, count);
    const settings::TreeFiles files { texts.begin(), texts.end() };
    std::size_t held = 0;
    for (auto iteration : state) {
        const std::size_t before = bytesInUse();
        const auto settings = settings::parseTree(files, {});
        if (!settings) {
            state.SkipWithError("the settings tree is invalid");
            break;
        }
        held = bytesInUse() - before;
    }
    std::size_t published = 0;
    for (const auto &[name, text] : texts) {
        published += text.size();
    }
    state.counters["bytesHeldPerEntry"] = static_cast<double>(held) / static_cast<double>(count);
    state.counters["bytesPublishedPerEntry"] =
        static_cast<double>(published) / static_cast<double>(count);
}

void parseWorkspaces(benchmark::State &state)
{
    runParse(state, "workspaces", workspace);
}

void parseRoutes(benchmark::State &state)
{
    runParse(state, "routes", route);
}

void parseEndpoints(benchmark::State &state)
{
    runParse(state, "endpoints", endpoint);
}

BENCHMARK(parseWorkspaces)->Arg(2000)->Arg(20'000)->Arg(200'000)->Unit(benchmark::kMillisecond);
BENCHMARK(parseRoutes)->Arg(2000)->Arg(6000)->Arg(19'000)->Unit(benchmark::kMillisecond);
BENCHMARK(parseEndpoints)->Arg(2000)->Arg(20'000)->Arg(71'000)->Unit(benchmark::kMillisecond);

} // namespace
