#include <benchmark/benchmark.h>

#include "damaskgate/lease/ileaseview.h"
#include "damaskgate/limits/limiterstatemachine.h"

#include "fixtures.h"
#include "tokencodec.h"

using namespace damaskgate;

namespace {

constexpr core::Instant Start { std::chrono::hours(1) };

/** Lease view in which this host holds either all partitions or none. */
class FixedLeases final : public lease::ILeaseView
{
public:
    explicit FixedLeases(bool holdsAll) : holdsAll(holdsAll) {}

    std::optional<lease::HeldLease> heldLease(lease::PartitionId /*partition*/,
                                              core::Instant now) const override
    {
        if (!this->holdsAll) {
            return std::nullopt;
        }
        return lease::HeldLease { 1, Start, now + std::chrono::seconds(3), {} };
    }

    std::optional<core::HostName> holderHint(lease::PartitionId /*partition*/) const override
    {
        return core::HostName("host-1");
    }

    std::vector<core::HostName> preferredHosts(lease::PartitionId /*partition*/) const override
    {
        return { core::HostName("host-1"), core::HostName("host-2") };
    }

private:
    bool holdsAll;
};

core::WorkspaceName workspaceAt(std::size_t index)
{
    return core::WorkspaceName("workspace-" + std::to_string(index));
}

} // namespace

/** Admits a request from the bucket of this host, with `size` workspaces in use. */
static void tokenTakeByWorkspaces(benchmark::State &state)
{
    const auto size = static_cast<std::size_t>(state.range(0));
    const FixedLeases leases(true);
    const auto settings = bench::makeSettings({ .workspaces = size });
    limits::LimiterStateMachine machine({ core::HostName("host-0"), 1 }, leases);
    machine.applySettings(settings, Start);
    const std::size_t before = bench::allocatedBytes();
    core::Instant now = Start + std::chrono::seconds(10);
    for (std::size_t i = 0; i < size; ++i) {
        machine.admit(workspaceAt(i), now + std::chrono::seconds(1), now);
        benchmark::DoNotOptimize(machine.takeActions());
    }
    const std::size_t after = bench::allocatedBytes();
    std::size_t next = 0;
    std::uint64_t admitted = 0;
    for (auto _ : state) {
        now += std::chrono::milliseconds(1);
        next = (next + 7919) % size;
        machine.admit(workspaceAt(next), now + std::chrono::seconds(1), now);
        const limits::LimiterActions actions = machine.takeActions();
        admitted += !actions.decisions.empty() && actions.decisions.front().result ? 1 : 0;
    }
    state.counters["admitted"] =
        static_cast<double>(admitted) / static_cast<double>(state.iterations());
    state.counters["bytes"] = static_cast<double>(after - before);
}
BENCHMARK(tokenTakeByWorkspaces)->Arg(100)->Arg(1000)->Arg(10000);

/** A holder replies to `size` token requests of other hosts; includes encoding and decoding. */
static void tokenRemoteByRequests(benchmark::State &state)
{
    const FixedLeases leases(true);
    limits::LimiterStateMachine machine({ core::HostName("host-0"), 1 }, leases);
    machine.applySettings(bench::makeSettings({ .workspaces = 100 }), Start);
    core::Instant now = Start + std::chrono::seconds(10);
    std::uint64_t id = 0;
    std::size_t wire = 0;
    for (auto _ : state) {
        for (std::int64_t i = 0; i < state.range(0); ++i) {
            now += std::chrono::milliseconds(1);
            const std::vector<limits::TokenMessage> request { limits::TokenRequest {
                ++id, std::chrono::milliseconds(50), workspaceAt(id % 100) } };
            const auto payload = limits::encodeMessages(request).front();
            const auto decoded = limits::decodeMessages(payload);
            machine.onMessage({ core::HostName("host-1"), 5 }, decoded->front(), now);
            machine.tick(now);
            for (const auto &[host, message] : machine.takeActions().messages) {
                wire = payload.size() + limits::encodeMessages({ &message, 1 }).front().size();
            }
        }
    }
    state.counters["wire"] = static_cast<double>(wire);
}
BENCHMARK(tokenRemoteByRequests)->Arg(10)->Arg(40)->Arg(160);
