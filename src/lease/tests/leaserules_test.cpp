#include <algorithm>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/lease/leasecandidate.h"
#include "damaskgate/lease/leasegrantor.h"

using namespace damaskgate;
using namespace damaskgate::lease;
using namespace std::chrono_literals;

namespace {

constexpr PartitionId Partition = 0;
const LeasePolicy Policy;
const RosterId FirstRoster { 1, 1 };
const HolderId First { core::HostName("h0"), 1 };
const HolderId Second { core::HostName("h1"), 1 };

LeaseOutcome ask(LeaseGrantor &grantor, const HolderId &from, std::uint64_t sequence,
                 core::Instant now)
{
    return grantor.onRequest(from, FirstRoster, { Partition, 1, sequence }, now).outcome;
}

/** A rule, and a scenario that goes wrong without it. */
struct RuleCase
{
    const char *name;
    void (*remove)(LeaseGuards &);
    bool (*isKept)(const LeaseGuards &);
};

std::ostream &operator<<(std::ostream &stream, const RuleCase &row)
{
    return stream << row.name;
}

bool refusesAfterStart(const LeaseGuards &guards)
{
    const core::Instant start { 1h };
    LeaseGrantor grantor(start, Policy, guards);
    return ask(grantor, First, 1, start + Policy.leaseTime) == LeaseOutcome::Starting
        && ask(grantor, First, 2, start + Policy.promiseTime()) == LeaseOutcome::Granted;
}

bool promisesLongerThanTheLease(const LeaseGuards &guards)
{
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, guards);
    ask(grantor, First, 1, now);
    return ask(grantor, Second, 1, now + Policy.leaseTime) == LeaseOutcome::HeldByOther;
}

bool ignoresLateRelease(const LeaseGuards &guards)
{
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, guards);
    ask(grantor, First, 1, now);
    ask(grantor, First, 3, now);
    grantor.onRelease(First, { Partition, 2 }, now);
    return ask(grantor, Second, 1, now) == LeaseOutcome::HeldByOther;
}

/** A candidate that is first for a partition of five hosts. */
struct Bench
{
    explicit Bench(const LeaseGuards &guards)
    {
        for (const char *name : { "h0", "h1", "h2", "h3", "h4" }) {
            hosts.push_back({ core::HostName(name), core::DomainName("d") });
        }
        const auto roster = std::make_shared<Roster>(1, hosts, std::span<const RosterHost> {});
        this->self = { roster->ranking(Partition).front(), 5 };
        this->candidate.emplace(this->self, 1, Policy, guards);
        this->candidate->applyRoster(roster);
    }

    /** Starts a round. @return its sequence number */
    std::uint64_t startRound()
    {
        for (;;) {
            this->candidate->tick(this->now);
            LeaseOutbox outbox = this->candidate->takeOutbox();
            const auto &requests = outbox[this->hosts[0].name].requests;
            const auto found = std::ranges::find(requests, Partition, &LeaseRequest::partition);
            if (found != requests.end()) {
                return found->sequence;
            }
            this->now += 10ms; // an undecided round is given up first
        }
    }

    void grant(std::size_t host, std::uint64_t sequence)
    {
        this->candidate->onReply(
            this->hosts[host].name,
            { Partition, LeaseOutcome::Granted, sequence, this->self.incarnation, {} }, this->now);
    }

    std::vector<RosterHost> hosts;
    HolderId self;
    std::optional<LeaseCandidate> candidate;
    core::Instant now { 1h };
};

bool countsFromSend(const LeaseGuards &guards)
{
    Bench bench(guards);
    const std::uint64_t sequence = bench.startRound();
    const core::Instant sentAt = bench.now;
    bench.now += 100ms;
    bench.grant(0, sequence);
    bench.grant(1, sequence);
    bench.grant(2, sequence);
    const auto held = bench.candidate->heldLease(Partition, bench.now);
    return held && held->validUntil == sentAt + Policy.leaseTime;
}

bool ignoresRepliesToEarlierRounds(const LeaseGuards &guards)
{
    Bench bench(guards);
    const std::uint64_t earlier = bench.startRound();
    bench.now += 1s;
    const std::uint64_t current = bench.startRound();
    bench.grant(0, earlier);
    bench.grant(1, earlier);
    bench.grant(2, current);
    return !bench.candidate->heldLease(Partition, bench.now);
}

bool endsAtUse(const LeaseGuards &guards)
{
    Bench bench(guards);
    const std::uint64_t sequence = bench.startRound();
    bench.grant(0, sequence);
    bench.grant(1, sequence);
    bench.grant(2, sequence);
    return bench.candidate->heldLease(Partition, bench.now)
        && !bench.candidate->heldLease(Partition, bench.now + Policy.leaseTime);
}

class LeaseRuleTests : public testing::TestWithParam<RuleCase>
{};

} // namespace

TEST_P(LeaseRuleTests, AnyRule_KeptAndTakenOut_OnlyKeptHolds)
{
    LeaseGuards guards;
    EXPECT_TRUE(GetParam().isKept(guards));
    GetParam().remove(guards);
    EXPECT_FALSE(GetParam().isKept(guards));
}

INSTANTIATE_TEST_SUITE_P(
    Rules, LeaseRuleTests,
    testing::Values(
        RuleCase { "WaitsAfterStart", [](LeaseGuards &g) { g.waitsAfterStart = false; },
                   refusesAfterStart },
        RuleCase { "AllowsForDrift", [](LeaseGuards &g) { g.allowsForDrift = false; },
                   promisesLongerThanTheLease },
        RuleCase { "OrdersReleases", [](LeaseGuards &g) { g.ordersReleases = false; },
                   ignoresLateRelease },
        RuleCase { "CountsFromSend", [](LeaseGuards &g) { g.countsFromSend = false; },
                   countsFromSend },
        RuleCase { "IgnoresOldReplies", [](LeaseGuards &g) { g.ignoresOldReplies = false; },
                   ignoresRepliesToEarlierRounds },
        RuleCase { "ChecksAtUse", [](LeaseGuards &g) { g.checksAtUse = false; }, endsAtUse }),
    [](const auto &info) { return info.param.name; });

TEST(LeaseGrantor_Tests, OnRequest_OlderRoster_IsRefused)
{
    // [GIVEN] A grantor with the second roster
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, {});
    grantor.applyRoster({ 2, 2 });

    // [THEN] It refuses the first one, and takes a newer one and its own
    EXPECT_EQ(ask(grantor, First, 1, now), LeaseOutcome::StaleRoster);
    EXPECT_EQ(grantor.onRequest(First, { 3, 3 }, { Partition, 1, 1 }, now).outcome,
              LeaseOutcome::Granted);
    EXPECT_EQ(grantor.onRequest(First, { 2, 1 }, { Partition, 1, 2 }, now).outcome,
              LeaseOutcome::Granted);
}
