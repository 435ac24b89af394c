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

LeaseOutcome request(LeaseGrantor &grantor, const HolderId &from, std::uint64_t sequence,
                     core::Instant now)
{
    return grantor.onRequest(from, FirstRoster, { Partition, 1, sequence }, now).outcome;
}

/** A safety rule, and a scenario that succeeds only while the rule is enabled. */
struct RuleCase
{
    const char *name;
    void (*disable)(LeaseGuards &);
    bool (*succeeds)(const LeaseGuards &);
};

std::ostream &operator<<(std::ostream &stream, const RuleCase &row)
{
    return stream << row.name;
}

bool deniesAfterStart(const LeaseGuards &guards)
{
    const core::Instant start { 1h };
    LeaseGrantor grantor(start, Policy, guards);
    return request(grantor, First, 1, start + Policy.leaseTime) == LeaseOutcome::Starting
        && request(grantor, First, 2, start + Policy.promiseTime()) == LeaseOutcome::Granted;
}

bool promisesForLongerThanLease(const LeaseGuards &guards)
{
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, guards);
    request(grantor, First, 1, now);
    return request(grantor, Second, 1, now + Policy.leaseTime) == LeaseOutcome::HeldByOther;
}

bool ignoresOutdatedRelease(const LeaseGuards &guards)
{
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, guards);
    request(grantor, First, 1, now);
    request(grantor, First, 3, now);
    grantor.onRelease(First, { Partition, 2 }, now);
    return request(grantor, Second, 1, now) == LeaseOutcome::HeldByOther;
}

/** The best-ranked candidate for a partition among five hosts. */
struct CandidateFixture
{
    explicit CandidateFixture(const LeaseGuards &guards)
    {
        for (const char *name : { "h0", "h1", "h2", "h3", "h4" }) {
            hosts.push_back({ core::HostName(name), core::DomainName("d") });
        }
        const auto roster = std::make_shared<Roster>(1, hosts, std::span<const RosterHost> {});
        this->self = { roster->ranking(Partition).front(), 5 };
        this->candidate.emplace(this->self, 1, Policy, guards);
        this->candidate->applyRoster(roster);
    }

    /** Starts a round and returns its sequence number. */
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
            this->now += 10ms; // a pending round is abandoned before the next one starts
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
    CandidateFixture fixture(guards);
    const std::uint64_t sequence = fixture.startRound();
    const core::Instant sentAt = fixture.now;
    fixture.now += 100ms;
    fixture.grant(0, sequence);
    fixture.grant(1, sequence);
    fixture.grant(2, sequence);
    const auto held = fixture.candidate->heldLease(Partition, fixture.now);
    return held && held->validUntil == sentAt + Policy.leaseTime;
}

bool ignoresRepliesToEarlierRounds(const LeaseGuards &guards)
{
    CandidateFixture fixture(guards);
    const std::uint64_t earlier = fixture.startRound();
    fixture.now += 1s;
    const std::uint64_t current = fixture.startRound();
    fixture.grant(0, earlier);
    fixture.grant(1, earlier);
    fixture.grant(2, current);
    return !fixture.candidate->heldLease(Partition, fixture.now);
}

bool checksExpiryAtUse(const LeaseGuards &guards)
{
    CandidateFixture fixture(guards);
    const std::uint64_t sequence = fixture.startRound();
    fixture.grant(0, sequence);
    fixture.grant(1, sequence);
    fixture.grant(2, sequence);
    return fixture.candidate->heldLease(Partition, fixture.now)
        && !fixture.candidate->heldLease(Partition, fixture.now + Policy.leaseTime);
}

class LeaseRuleTests : public testing::TestWithParam<RuleCase>
{};

} // namespace

TEST_P(LeaseRuleTests, Scenario_RuleEnabledThenDisabled_SucceedsOnlyWithRule)
{
    LeaseGuards guards;
    EXPECT_TRUE(GetParam().succeeds(guards));
    GetParam().disable(guards);
    EXPECT_FALSE(GetParam().succeeds(guards));
}

INSTANTIATE_TEST_SUITE_P(
    Rules, LeaseRuleTests,
    testing::Values(RuleCase { "WaitsAfterStart", [](LeaseGuards &g) { g.waitsAfterStart = false; },
                               deniesAfterStart },
                    RuleCase { "AllowsForDrift", [](LeaseGuards &g) { g.allowsForDrift = false; },
                               promisesForLongerThanLease },
                    RuleCase { "OrdersReleases", [](LeaseGuards &g) { g.ordersReleases = false; },
                               ignoresOutdatedRelease },
                    RuleCase { "CountsFromSend", [](LeaseGuards &g) { g.countsFromSend = false; },
                               countsFromSend },
                    RuleCase { "IgnoresOldReplies",
                               [](LeaseGuards &g) { g.ignoresOldReplies = false; },
                               ignoresRepliesToEarlierRounds },
                    RuleCase { "ChecksAtUse", [](LeaseGuards &g) { g.checksAtUse = false; },
                               checksExpiryAtUse }),
    [](const auto &info) { return info.param.name; });

TEST(LeaseGrantor_Tests, OnRequest_OlderRoster_IsRefused)
{
    // [GIVEN] A grantor with the roster of the second revision
    const core::Instant now { 1h };
    LeaseGrantor grantor(now - 1min, Policy, {});
    grantor.applyRoster({ 2, 2 });

    // [THEN] It denies a request under the first roster and grants those under a newer roster and
    // under its own
    EXPECT_EQ(request(grantor, First, 1, now), LeaseOutcome::StaleRoster);
    EXPECT_EQ(grantor.onRequest(First, { 3, 3 }, { Partition, 1, 1 }, now).outcome,
              LeaseOutcome::Granted);
    EXPECT_EQ(grantor.onRequest(First, { 2, 1 }, { Partition, 1, 2 }, now).outcome,
              LeaseOutcome::Granted);
}
