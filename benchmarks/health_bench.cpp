#include <benchmark/benchmark.h>

#include "damaskgate/balance/coldslotallocator.h"
#include "damaskgate/health/evidencecollector.h"
#include "damaskgate/health/serviceowner.h"

#include "fixtures.h"

using namespace damaskgate;

namespace {

constexpr core::Instant Start { std::chrono::hours(1) };
const core::ServiceName Service("service-0");

std::size_t sizeOf(const benchmark::State &state)
{
    return static_cast<std::size_t>(state.range(0));
}

health::EvidenceReport makeReport(std::size_t endpoints, std::uint64_t sequence)
{
    health::EvidenceReport report { Service, sequence, {}, { { 20, 5 }, { 21, 5 } } };
    for (std::size_t i = 0; i < endpoints; ++i) {
        report.endpoints.push_back(
            { core::EndpointName("endpoint-" + std::to_string(i)), 10, 0, 10, 0 });
    }
    return report;
}

/** Measures one report interval of an owner: a report from each host, then the evaluation. */
void measureOwner(benchmark::State &state, std::size_t hosts, std::size_t endpoints)
{
    const auto settings = bench::makeSettings({ .hosts = hosts, .endpoints = endpoints });
    const auto names = bench::makeHosts(hosts);
    health::ServiceOwner owner(Service, 1, Start);
    owner.applySettings(*settings);
    core::Instant now = Start + std::chrono::seconds(10);
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        now += health::ReportInterval;
        const health::EvidenceReport report = makeReport(endpoints, ++sequence);
        for (const core::HostName &host : names) {
            benchmark::DoNotOptimize(owner.onReport(host, report, now));
        }
        benchmark::DoNotOptimize(owner.evaluate(now));
    }
}

} // namespace

static void evidenceByReporters(benchmark::State &state)
{
    measureOwner(state, sizeOf(state), 25);
}
BENCHMARK(evidenceByReporters)->Arg(8)->Arg(24)->Arg(72)->Unit(benchmark::kMicrosecond);

static void evidenceByEndpoints(benchmark::State &state)
{
    measureOwner(state, 24, sizeOf(state));
}
BENCHMARK(evidenceByEndpoints)->Arg(6)->Arg(25)->Arg(100)->Unit(benchmark::kMicrosecond);

/** The owner of 25 cold endpoints replies to a slot request of one of `size` hosts. */
static void coldGrantByHosts(benchmark::State &state)
{
    const std::size_t endpoints = 25;
    const auto settings = bench::makeSettings({ .hosts = sizeOf(state), .endpoints = endpoints });
    const auto names = bench::makeHosts(sizeOf(state));
    balance::ColdSlotAllocator allocator(1, Start);
    core::Instant now = Start + std::chrono::seconds(10);
    allocator.applySettings(*settings, settings->services.at(Service), now);
    balance::SlotRequest request { Service, 0, {} };
    for (std::size_t i = 0; i < endpoints; ++i) {
        balance::EndpointUse use;
        use.endpoint = core::EndpointName("endpoint-" + std::to_string(i));
        use.warmupState = balance::WarmupState::Cold;
        use.wanted = 1;
        request.endpoints.push_back(use);
    }
    std::size_t next = 0;
    for (auto _ : state) {
        if (++next % names.size() == 0) {
            now += balance::ReportInterval;
        }
        ++request.sequence;
        benchmark::DoNotOptimize(allocator.onRequest(names[next % names.size()], 1, request, now));
    }
}
BENCHMARK(coldGrantByHosts)->Arg(8)->Arg(24)->Arg(72)->Unit(benchmark::kMicrosecond);
