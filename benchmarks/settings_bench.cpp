#include <benchmark/benchmark.h>

#include "damaskgate/routing/routeindex.h"

#include "fixtures.h"

using namespace damaskgate;

namespace {

/** Measures the parsing of a tree, done on each change, and the heap size of the result. */
void measureParsing(benchmark::State &state, const bench::TreeSize &size)
{
    const bench::Tree tree = bench::makeTree(size);
    for (auto _ : state) {
        benchmark::DoNotOptimize(settings::parseTree(tree.files(), {}));
    }
    const std::size_t before = bench::allocatedBytes();
    const settings::SettingsPtr parsed = bench::makeSettings(size);
    state.counters["bytes"] = static_cast<double>(bench::allocatedBytes() - before);
    state.counters["text"] = static_cast<double>(tree.bytes());
}

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

} // namespace

static void changeByWorkspaces(benchmark::State &state)
{
    measureParsing(state, { .workspaces = sizeOf(state) });
}
BENCHMARK(changeByWorkspaces)->Arg(2000)->Arg(8000)->Arg(32000)->Unit(benchmark::kMillisecond);

static void changeByRoutes(benchmark::State &state)
{
    measureParsing(state, { .services = 10, .routes = sizeOf(state) });
}
BENCHMARK(changeByRoutes)->Arg(1000)->Arg(4000)->Arg(19000)->Unit(benchmark::kMillisecond);

static void changeByServices(benchmark::State &state)
{
    measureParsing(state, { .services = sizeOf(state), .endpoints = sizeOf(state) });
}
BENCHMARK(changeByServices)->Arg(300)->Arg(1000)->Arg(2800)->Unit(benchmark::kMillisecond);

static void changeByEndpoints(benchmark::State &state)
{
    measureParsing(state, { .services = 100, .endpoints = sizeOf(state) });
}
BENCHMARK(changeByEndpoints)->Arg(2000)->Arg(8000)->Arg(32000)->Unit(benchmark::kMillisecond);

static void changeByHosts(benchmark::State &state)
{
    measureParsing(state, { .hosts = sizeOf(state) });
}
BENCHMARK(changeByHosts)->Arg(500)->Arg(1500)->Arg(5900)->Unit(benchmark::kMillisecond);

/** Builds the route index, as done on each change of settings. */
static void indexByWorkspaces(benchmark::State &state)
{
    const auto settings = bench::makeSettings({ .workspaces = sizeOf(state) });
    for (auto _ : state) {
        routing::RouteIndex index(settings);
        benchmark::DoNotOptimize(index);
    }
    const std::size_t before = bench::allocatedBytes();
    const routing::RouteIndex index(settings);
    state.counters["bytes"] = static_cast<double>(bench::allocatedBytes() - before);
}
BENCHMARK(indexByWorkspaces)->Arg(2000)->Arg(8000)->Arg(32000)->Unit(benchmark::kMillisecond);

static void indexByRoutes(benchmark::State &state)
{
    const auto settings = bench::makeSettings({ .services = 10, .routes = sizeOf(state) });
    for (auto _ : state) {
        routing::RouteIndex index(settings);
        benchmark::DoNotOptimize(index);
    }
    const std::size_t before = bench::allocatedBytes();
    const routing::RouteIndex index(settings);
    state.counters["bytes"] = static_cast<double>(bench::allocatedBytes() - before);
}
BENCHMARK(indexByRoutes)->Arg(1000)->Arg(4000)->Arg(19000)->Unit(benchmark::kMillisecond);

/** Finds the route and the workspace of one request. */
static void routeRequestByWorkspaces(benchmark::State &state)
{
    const auto settings = bench::makeSettings({ .routes = 100, .workspaces = sizeOf(state) });
    const routing::RouteIndex index(settings);
    std::size_t next = 0;
    for (auto _ : state) {
        next = (next + 7919) % sizeOf(state);
        benchmark::DoNotOptimize(index.findRoute("/r/50/a", "GET"));
        benchmark::DoNotOptimize(index.findWorkspace("key-" + std::to_string(next)));
    }
}
BENCHMARK(routeRequestByWorkspaces)->Arg(2000)->Arg(8000)->Arg(32000);
