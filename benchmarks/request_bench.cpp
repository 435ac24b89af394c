#include <benchmark/benchmark.h>

#include "damaskgate/balance/balancer.h"
#include "damaskgate/core/hash.h"
#include "damaskgate/metrics/registry.h"

#include "fixtures.h"

using namespace damaskgate;

namespace {

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

/** Marks every endpoint as warm in @p balancer, as replies of the service owners do. */
void warmUp(balance::Balancer &balancer)
{
    for (const balance::SlotRequest &request : balancer.makeSlotRequests()) {
        balance::SlotReply answer { request.service, 1, request.sequence, {} };
        for (const balance::EndpointUse &use : request.endpoints) {
            answer.endpoints.push_back(
                { use.endpoint, balance::WarmupState::Warm, std::chrono::seconds(60), 0 });
        }
        balancer.onSlotReply(answer);
    }
}

} // namespace

/** Ranks all hosts, as a look-up does for a workspace that is not cached. */
static void lookupByMembers(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(sizeOf(state));
    std::size_t next = 0;
    for (auto _ : state) {
        benchmark::DoNotOptimize(core::rankHosts(hosts, std::to_string(++next)));
    }
}
BENCHMARK(lookupByMembers)->Arg(500)->Arg(1500)->Arg(3000)->Arg(5900);

/** Acquires and releases a slot of a service with `size` endpoints. */
static void slotByEndpoints(benchmark::State &state)
{
    const core::ManualClock clock;
    balance::Balancer balancer(clock, 1);
    balancer.applySettings(bench::makeSettings({ .endpoints = sizeOf(state) }));
    warmUp(balancer);
    const balance::WorkRequest request { core::ServiceName("service-0"),
                                         core::WorkspaceName("workspace-0"),
                                         false,
                                         clock.now() + std::chrono::seconds(5),
                                         {} };
    std::uint64_t granted = 0;
    for (auto _ : state) {
        balancer.acquire(request, [&](core::Result<balance::SlotGrant> result) {
            if (result) {
                ++granted;
                balancer.release(result->id,
                                 { balance::Outcome::Answered, std::chrono::milliseconds(5), {} });
            }
        });
    }
    state.counters["granted"] =
        static_cast<double>(granted) / static_cast<double>(state.iterations());
}
BENCHMARK(slotByEndpoints)->Arg(6)->Arg(25)->Arg(100)->Arg(400);

/** Makes the slot requests of one report interval to the owners of `size` services. */
static void slotRequestsByServices(benchmark::State &state)
{
    const core::ManualClock clock;
    balance::Balancer balancer(clock, 1);
    const std::size_t endpointsOfService = 25;
    const auto settings = bench::makeSettings(
        { .services = sizeOf(state), .endpoints = sizeOf(state) * endpointsOfService });
    const std::size_t before = bench::allocatedBytes();
    balancer.applySettings(settings);
    const std::size_t after = bench::allocatedBytes();
    std::size_t messages = 0;
    for (auto _ : state) {
        messages = balancer.makeSlotRequests().size();
    }
    state.counters["messages"] = static_cast<double>(messages);
    state.counters["bytes"] = static_cast<double>(after - before);
}
BENCHMARK(slotRequestsByServices)->Arg(50)->Arg(200)->Arg(800)->Unit(benchmark::kMicrosecond);

/** Records one latency in a histogram of `size` bins. */
static void histogramByBins(benchmark::State &state)
{
    metrics::Histogram histogram({ 0.0001, 100, static_cast<unsigned>(state.range(0)) });
    double value = 0.0001;
    for (auto _ : state) {
        value = value > 10 ? 0.0001 : value * 1.01;
        histogram.record(value);
    }
}
BENCHMARK(histogramByBins)->Arg(20)->Arg(60)->Arg(200);
