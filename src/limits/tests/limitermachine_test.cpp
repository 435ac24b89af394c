#include "damaskgate/limits/limitermachine.h"

#include <algorithm>
#include <iterator>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::limits;
using namespace std::chrono_literals;

namespace {

const core::WorkspaceName Workspace("bookings");
const lease::HolderId Self { core::HostName("ves-01"), 11 };
const lease::HolderId Other { core::HostName("bre-02"), 22 };
const lease::HolderId Third { core::HostName("gra-03"), 33 };

class FakeLeases final : public lease::ILeaseView
{
public:
    std::optional<lease::HeldLease> heldLease(lease::PartitionId /*partition*/,
                                              core::Instant now) const override
    {
        return this->held && now < this->held->validUntil ? this->held : std::nullopt;
    }

    std::optional<core::HostName> holderHint(lease::PartitionId /*partition*/) const override
    {
        return Other.host;
    }

    std::vector<core::HostName> preferredHosts(lease::PartitionId /*partition*/) const override
    {
        return { Other.host, Third.host };
    }

    std::optional<lease::HeldLease> held;
};

/** One limiter at rate 10/s and burst 5. */
struct Bench
{
    explicit Bench(const LimiterGuards &guards = {}) : machine(Self, leases, {}, guards)
    {
        auto settings = std::make_shared<settings::Settings>();
        settings->workspaces[Workspace] = { Workspace, 10, 5, 1, {} };
        this->machine.applySettings(settings, this->now);
    }

    void hold(core::Duration validFor, const std::optional<lease::LeaseId> &predecessor = {})
    {
        this->leases.held = { 1, this->now, this->now + validFor, predecessor };
    }

    /** @return how many of @p count requests are admitted at once. */
    std::size_t admitNow(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->machine.admit(Workspace, this->now + 1s, this->now);
        }
        return admitted(this->machine.takeActions());
    }

    static std::size_t admitted(const LimiterActions &actions)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(actions.decisions, [](const Decision &decision) {
                return decision.result.has_value();
            }));
    }

    /** Asks the other host for a token. @return the id of the question */
    std::uint64_t ask()
    {
        this->machine.admit(Workspace, this->now + 1s, this->now);
        const LimiterActions actions = this->machine.takeActions();
        return std::get<TakeRequest>(actions.messages.at(0).second).id;
    }

    TakeOutcome take(core::Duration useWithin)
    {
        this->machine.onMessage(Other, TakeRequest { 1, useWithin, Workspace }, this->now);
        const LimiterActions actions = this->machine.takeActions();
        return actions.messages.empty() ? TakeOutcome::Empty // it waits for the next token
                                        : std::get<TakeReply>(actions.messages[0].second).outcome;
    }

    std::size_t reply(std::uint64_t id, std::uint64_t incarnation)
    {
        this->machine.onMessage(Other, TakeReply { id, incarnation, TakeOutcome::Granted, {}, {} },
                                this->now);
        return admitted(this->machine.takeActions());
    }

    FakeLeases leases;
    LimiterMachine machine;
    core::Instant now { 100h };
};

TokenHandover handoverOf(std::uint32_t epoch, double tokens)
{
    return { partitionOf(Workspace), epoch, Workspace, tokens };
}

/** A rule, and a scenario whose outcome breaks the bound without it. */
struct GuardCase
{
    const char *name;
    void (*remove)(LimiterGuards &);
    bool (*isBoundKept)(const LimiterGuards &);
};

std::ostream &operator<<(std::ostream &stream, const GuardCase &row)
{
    return stream << row.name;
}

bool keepsEmptyStart(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(2s);
    return bench.admitNow(5) == 0;
}

bool voidsLateReply(const LimiterGuards &guards)
{
    Bench bench(guards);
    const std::uint64_t id = bench.ask();
    bench.now += 200ms; // frozen: no tick before the reply
    return bench.reply(id, Self.incarnation) == 0;
}

bool ignoresReplyToFormerProcess(const LimiterGuards &guards)
{
    Bench bench(guards);
    const std::uint64_t id = bench.ask();
    return bench.reply(id, Self.incarnation - 1) == 0;
}

bool lendsWithinLeaseOnly(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(1s);
    bench.now += 980ms;
    return bench.take(50ms) == TakeOutcome::NotHolder;
}

bool debitsBeforeTelling(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(10s);
    bench.now += 101ms; // one token
    return bench.take(50ms) == TakeOutcome::Granted && bench.admitNow(1) == 0;
}

bool keepsRoomOfLentTokens(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(10s);
    bench.now += 1s;
    for (int count = 0; count < 5; ++count) {
        bench.take(50ms);
    }
    bench.now += 125ms; // 75 ms after the lent tokens are void: less than a token
    return bench.take(50ms) != TakeOutcome::Granted;
}

bool releasesAfterLentTokensAreVoid(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(10s);
    bench.now += 1s;
    bench.take(50ms);
    bench.leases.held.reset();
    bench.machine.onReleasing(partitionOf(Workspace), 1, Other.host, bench.now);
    const bool isEarly = !bench.machine.takeActions().released.empty();
    bench.machine.tick(bench.now + 51ms);
    return !isEarly && bench.machine.takeActions().released.size() == 1;
}

bool refusesHandoverOfAnotherHolding(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(2s, lease::LeaseId { Other, 7 });
    bench.machine.onMessage(Other, handoverOf(6, 5), bench.now);
    bench.machine.onMessage(Third, handoverOf(7, 5), bench.now);
    return bench.admitNow(5) == 0;
}

bool takesHandoverOnce(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(2s, lease::LeaseId { Other, 7 });
    bench.machine.onMessage(Other, handoverOf(7, 2), bench.now);
    bench.machine.onMessage(Other, handoverOf(7, 2), bench.now);
    return bench.admitNow(5) == 2;
}

bool accruesNoFasterThanASlowClock(const LimiterGuards &guards)
{
    Bench bench(guards);
    bench.hold(10s);
    bench.now += 100ms; // on a fast clock: a little less of real time
    return bench.admitNow(1) == 0;
}

class LimiterGuardTests : public testing::TestWithParam<GuardCase>
{};

} // namespace

TEST_P(LimiterGuardTests, AnyRule_KeptAndTakenOut_OnlyKeptHolds)
{
    LimiterGuards guards;
    EXPECT_TRUE(GetParam().isBoundKept(guards));
    GetParam().remove(guards);
    EXPECT_FALSE(GetParam().isBoundKept(guards));
}

INSTANTIATE_TEST_SUITE_P(
    Rules, LimiterGuardTests,
    testing::Values(
        GuardCase { "StartsEmpty", [](LimiterGuards &g) { g.startsEmpty = false; },
                    keepsEmptyStart },
        GuardCase { "VoidsLateReplies", [](LimiterGuards &g) { g.voidsLateReplies = false; },
                    voidsLateReply },
        GuardCase { "ChecksIncarnation", [](LimiterGuards &g) { g.checksIncarnation = false; },
                    ignoresReplyToFormerProcess },
        GuardCase { "EndsUseWithLease", [](LimiterGuards &g) { g.endsUseWithLease = false; },
                    lendsWithinLeaseOnly },
        GuardCase { "DebitsBeforeTelling", [](LimiterGuards &g) { g.debitsBeforeTelling = false; },
                    debitsBeforeTelling },
        GuardCase { "ReservesTokensInUse", [](LimiterGuards &g) { g.reservesTokensInUse = false; },
                    keepsRoomOfLentTokens },
        GuardCase { "WaitsBeforeRelease", [](LimiterGuards &g) { g.waitsBeforeRelease = false; },
                    releasesAfterLentTokensAreVoid },
        GuardCase { "ChecksPredecessor", [](LimiterGuards &g) { g.checksPredecessor = false; },
                    refusesHandoverOfAnotherHolding },
        GuardCase { "AcceptsHandoverOnce", [](LimiterGuards &g) { g.acceptsHandoverOnce = false; },
                    takesHandoverOnce },
        GuardCase { "AllowsForDrift", [](LimiterGuards &g) { g.allowsForDrift = false; },
                    accruesNoFasterThanASlowClock }),
    [](const auto &info) { return info.param.name; });

TEST(LimiterMachine_Tests, Admit_LeaseEnded_AdmitsNothingFromTheBucket)
{
    // [GIVEN] A holder with a full bucket
    Bench bench;
    bench.hold(2s);
    bench.now += 1s;

    // [WHEN] Its process wakes up after the lease has ended
    bench.now += 10s;

    // [THEN] It admits nothing
    EXPECT_EQ(bench.admitNow(5), 0U);
}

TEST(LimiterMachine_Tests, Admit_SettingsChangeWhileRunning_NeverMoreThanTheLargerBurst)
{
    // [GIVEN] A full bucket of five, all spent
    Bench bench;
    bench.hold(10s);
    bench.now += 1s;
    EXPECT_EQ(bench.admitNow(5), 5U);

    // [WHEN] The burst grows to eight, and the workspace is removed and published again
    auto grown = std::make_shared<settings::Settings>();
    grown->workspaces[Workspace] = { Workspace, 10, 8, 1, {} };
    bench.machine.applySettings(grown, bench.now);
    bench.machine.applySettings(std::make_shared<settings::Settings>(), bench.now);
    bench.machine.tick(bench.now);
    bench.machine.applySettings(grown, bench.now);

    // [THEN] No token comes from the change
    EXPECT_EQ(bench.admitNow(5), 0U);
}

TEST(LimiterMachine_Tests, Admit_TokenComesSoon_WaitsInsteadOfRefusing)
{
    // [GIVEN] A holder whose next token comes in 50 ms
    Bench bench;
    bench.hold(10s);
    bench.now += 51ms;

    // [WHEN] A request arrives
    EXPECT_EQ(bench.admitNow(1), 0U);

    // [THEN] It is admitted with that token, once
    bench.now += 50ms;
    bench.machine.tick(bench.now);
    EXPECT_EQ(Bench::admitted(bench.machine.takeActions()), 1U);
    bench.machine.tick(bench.now + 1s);
    EXPECT_TRUE(bench.machine.takeActions().decisions.empty());
}

TEST(LimiterMachine_Tests, OnMessage_ReplyRepeated_OneAnswer)
{
    // [GIVEN] A request that asked another host
    Bench bench;
    const std::uint64_t id = bench.ask();

    // [THEN] The first reply admits it and the second does nothing
    EXPECT_EQ(bench.reply(id, Self.incarnation), 1U);
    EXPECT_EQ(bench.reply(id, Self.incarnation), 0U);
}

TEST(LimiterMachine_Tests, Tick_NoHolderAnswers_RefusesTruthfullyInTime)
{
    // [GIVEN] A request whose question is lost
    Bench bench;
    bench.ask();

    // [WHEN] No host answers
    std::vector<Decision> decisions;
    for (int step = 0; step < 100; ++step) {
        bench.now += 5ms;
        bench.machine.tick(bench.now);
        std::ranges::move(bench.machine.takeActions().decisions, std::back_inserter(decisions));
    }

    // [THEN] It is refused once as not run
    ASSERT_EQ(decisions.size(), 1U);
    ASSERT_FALSE(decisions[0].result);
    EXPECT_EQ(decisions[0].result.error().reason, core::Reason::LimiterUnavailable);
    EXPECT_EQ(decisions[0].result.error().verdict, core::Verdict::NotRun);
}
