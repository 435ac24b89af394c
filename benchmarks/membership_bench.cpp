#include <benchmark/benchmark.h>

#include "damaskgate/membership/membertable.h"
#include "damaskgate/peer/envelope.h"

#include "fixtures.h"
#include "membercodec.h"

using namespace damaskgate;

namespace {

constexpr std::uint64_t Incarnation { 1'700'000'000'000'000 };
const std::string Secret(32, 's');

std::vector<membership::MemberUpdate> makeUpdates(std::size_t count)
{
    std::vector<membership::MemberUpdate> updates;
    for (std::size_t i = 0; i < count; ++i) {
        updates.push_back({ core::HostName("host-" + std::to_string(i)), Incarnation, 3,
                            membership::MemberState::Suspect });
    }
    return updates;
}

settings::Revision revision()
{
    return { 1000, std::string(64, 'a') };
}

std::vector<std::byte> sealed(const membership::MemberMessage &message)
{
    return peer::sealEnvelope({ core::HostName("host-1"), core::HostName("host-2"), Incarnation, 7,
                                peer::MessageKind::Heartbeat, membership::encode(message) },
                              Secret);
}

} // namespace

/** Runs a probe period of a host in a stable fleet of `size` members; each probe gets a reply. */
static void heartbeatByMembers(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(static_cast<std::size_t>(state.range(0)));
    const std::size_t before = bench::allocatedBytes();
    membership::MemberTable table(hosts.front(), Incarnation, 1);
    table.applyRoster(hosts);
    const std::size_t after = bench::allocatedBytes();
    table.setRevision(revision());
    core::Instant now { std::chrono::hours(1) };
    for (auto _ : state) {
        now += std::chrono::milliseconds(500);
        for (const membership::OutgoingMessage &sent : table.tick(now)) {
            if (const auto *probe = std::get_if<membership::Probe>(&sent.message)) {
                const membership::ProbeReply reply { probe->sequence, revision(), {} };
                benchmark::DoNotOptimize(table.receive(sent.to, Incarnation, reply, now));
            }
        }
    }
    state.counters["bytes"] = static_cast<double>(after - before);
}
BENCHMARK(heartbeatByMembers)->Arg(500)->Arg(1500)->Arg(3000)->Arg(5900);

/** Encodes, seals, opens, decodes and handles a probe with `size` member updates. */
static void heartbeatByUpdates(benchmark::State &state)
{
    const auto hosts = bench::makeHosts(1000);
    membership::MemberTable table(core::HostName("host-2"), Incarnation, 1);
    table.applyRoster(hosts);
    core::Instant now { std::chrono::hours(1) };
    membership::Probe probe { 1, revision(),
                              makeUpdates(static_cast<std::size_t>(state.range(0))) };
    std::size_t bytes = 0;
    for (auto _ : state) {
        ++probe.sequence;
        const std::vector<std::byte> datagram = sealed(probe);
        bytes = datagram.size();
        const auto envelope = peer::openEnvelope(datagram, Secret, core::HostName("host-2"));
        const auto message = membership::decode(envelope->payload);
        benchmark::DoNotOptimize(table.receive(envelope->from, Incarnation, *message, now));
    }
    state.counters["wire"] = static_cast<double>(bytes);
}
BENCHMARK(heartbeatByUpdates)->Arg(0)->Arg(2)->Arg(4)->Arg(6);

/** Seals and opens a datagram with a payload of `size` bytes. */
static void envelopeByBytes(benchmark::State &state)
{
    const std::vector<std::byte> payload(static_cast<std::size_t>(state.range(0)));
    std::size_t bytes = 0;
    for (auto _ : state) {
        const auto datagram =
            peer::sealEnvelope({ core::HostName("host-1"), core::HostName("host-2"), Incarnation, 7,
                                 peer::MessageKind::Lease, payload },
                               Secret);
        bytes = datagram.size();
        benchmark::DoNotOptimize(peer::openEnvelope(datagram, Secret, core::HostName("host-2")));
    }
    state.counters["wire"] = static_cast<double>(bytes);
}
BENCHMARK(envelopeByBytes)->Arg(100)->Arg(400)->Arg(800)->Arg(1200);
