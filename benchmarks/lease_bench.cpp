#include <benchmark/benchmark.h>

#include "damaskgate/lease/leasetable.h"

#include "fixtures.h"

using namespace damaskgate;

namespace {

lease::RosterPtr makeRoster(std::size_t hosts)
{
    std::vector<lease::RosterHost> list;
    for (const core::HostName &host : bench::makeHosts(hosts)) {
        list.push_back({ host, core::DomainName("domain-" + std::to_string(list.size() % 10)) });
    }
    return std::make_shared<const lease::Roster>(1, list, std::span<const lease::RosterHost>());
}

constexpr core::Instant Start { std::chrono::hours(1) };

} // namespace

/** Ranks the hosts for all partitions after a change of the published hosts. */
static void rosterByMembers(benchmark::State &state)
{
    for (auto _ : state) {
        benchmark::DoNotOptimize(makeRoster(static_cast<std::size_t>(state.range(0))));
    }
    const std::size_t before = bench::allocatedBytes();
    const auto roster = makeRoster(static_cast<std::size_t>(state.range(0)));
    state.counters["bytes"] = static_cast<double>(bench::allocatedBytes() - before);
}
BENCHMARK(rosterByMembers)
    ->Arg(500)
    ->Arg(1500)
    ->Arg(3000)
    ->Arg(5900)
    ->Unit(benchmark::kMillisecond);

/** Applies one change of the live hosts. */
static void liveHostsByMembers(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(static_cast<std::size_t>(state.range(0)));
    lease::LeaseTable table({ hosts.front(), 1 }, Start, 1);
    table.applyRoster(makeRoster(hosts.size()));
    std::size_t liveCount = hosts.size();
    for (auto _ : state) {
        liveCount = liveCount > hosts.size() - 2 ? liveCount - 1 : hosts.size();
        table.setLiveHosts(std::span(hosts).first(liveCount));
    }
}
BENCHMARK(liveHostsByMembers)->Arg(500)->Arg(1500)->Arg(3000)->Arg(5900);

/** A grantor replies to a batch of `size` lease requests. */
static void leaseGrantByRequests(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(10);
    const auto roster = makeRoster(hosts.size());
    lease::LeaseTable table({ hosts.front(), 1 }, Start, 1);
    table.applyRoster(roster);
    core::Instant now = Start + std::chrono::minutes(1);
    std::uint64_t sequence = 0;
    for (auto _ : state) {
        now += std::chrono::seconds(1);
        lease::LeaseBatch batch;
        batch.roster = roster->id();
        ++sequence;
        for (std::uint32_t i = 0; i < state.range(0); ++i) {
            batch.requests.push_back({ i, 1, sequence });
        }
        table.onBatch({ hosts.back(), 5 }, batch, now);
        benchmark::DoNotOptimize(table.takeOutbox(now));
    }
}
BENCHMARK(leaseGrantByRequests)->Arg(8)->Arg(32)->Arg(64)->Arg(128);

/** Runs one tick of a host that holds no lease, among `size` members. */
static void leaseTickByMembers(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(static_cast<std::size_t>(state.range(0)));
    lease::LeaseTable table({ hosts.front(), 1 }, Start, 1);
    table.applyRoster(makeRoster(hosts.size()));
    table.setLiveHosts(hosts);
    core::Instant now = Start;
    for (auto _ : state) {
        now += std::chrono::milliseconds(20);
        table.tick(now);
        benchmark::DoNotOptimize(table.takeOutbox(now));
    }
}
BENCHMARK(leaseTickByMembers)->Arg(500)->Arg(1500)->Arg(3000)->Arg(5900);
