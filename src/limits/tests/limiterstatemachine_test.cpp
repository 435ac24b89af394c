#include "damaskgate/limits/limiterstatemachine.h"

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

/** One limiter with a workspace of rate 10/s and burst 5. */
struct LimiterFixture
{
    explicit LimiterFixture(const LimiterGuards &guards = {})
        : stateMachine(Self, leases, {}, guards)
    {
        auto settings = std::make_shared<settings::Settings>();
        settings->workspaces[Workspace] = { Workspace, 10, 5, 1, {} };
        this->stateMachine.applySettings(settings, this->now);
    }

    void holdLease(core::Duration validFor, const std::optional<lease::LeaseId> &predecessor = {})
    {
        this->leases.held = { 1, this->now, this->now + validFor, predecessor };
    }

    /** @return the number of requests, out of @p count, that are admitted without waiting. */
    std::size_t admitNow(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index) {
            this->stateMachine.admit(Workspace, this->now + 1s, this->now);
        }
        return admitted(this->stateMachine.takeActions());
    }

    static std::size_t admitted(const LimiterActions &actions)
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(actions.decisions, [](const Decision &decision) {
                return decision.result.has_value();
            }));
    }

    /** Makes the limiter request a token from the other host. @return the ID of the TokenRequest */
    std::uint64_t requestToken()
    {
        this->stateMachine.admit(Workspace, this->now + 1s, this->now);
        const LimiterActions actions = this->stateMachine.takeActions();
        return std::get<TokenRequest>(actions.messages.at(0).second).id;
    }

    TokenOutcome receiveRequest(core::Duration useWithin)
    {
        this->stateMachine.onMessage(Other, TokenRequest { 1, useWithin, Workspace }, this->now);
        const LimiterActions actions = this->stateMachine.takeActions();
        return actions.messages.empty()
            ? TokenOutcome::Empty // the request waits for the next token
            : std::get<TokenReply>(actions.messages[0].second).outcome;
    }

    std::size_t receiveReply(std::uint64_t id, std::uint64_t incarnation)
    {
        this->stateMachine.onMessage(
            Other, TokenReply { id, incarnation, TokenOutcome::Granted, {}, {} }, this->now);
        return admitted(this->stateMachine.takeActions());
    }

    FakeLeases leases;
    LimiterStateMachine stateMachine;
    core::Instant now { 100h };
};

TokenHandover handoverOf(std::uint32_t epoch, double tokens)
{
    return { partitionOf(Workspace), epoch, Workspace, tokens };
}

/** A rule and a scenario that exceeds the limit when the rule is switched off. */
struct GuardCase
{
    const char *name;
    void (*remove)(LimiterGuards &);
    bool (*isBoundKept)(const LimiterGuards &);
};

std::ostream &operator<<(std::ostream &stream, const GuardCase &guardCase)
{
    return stream << guardCase.name;
}

bool keepsEmptyStart(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(2s);
    return fixture.admitNow(5) == 0;
}

bool ignoresLateReply(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    const std::uint64_t id = fixture.requestToken();
    fixture.now += 200ms; // the process was suspended: no tick() before the reply
    return fixture.receiveReply(id, Self.incarnation) == 0;
}

bool ignoresReplyToFormerProcess(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    const std::uint64_t id = fixture.requestToken();
    return fixture.receiveReply(id, Self.incarnation - 1) == 0;
}

bool grantsWithinLeaseOnly(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(1s);
    fixture.now += 980ms;
    return fixture.receiveRequest(50ms) == TokenOutcome::NotHolder;
}

bool debitsBeforeTelling(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(10s);
    fixture.now += 101ms; // one token
    return fixture.receiveRequest(50ms) == TokenOutcome::Granted && fixture.admitNow(1) == 0;
}

bool keepsRoomOfReservedTokens(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(10s);
    fixture.now += 1s;
    for (int count = 0; count < 5; ++count) {
        fixture.receiveRequest(50ms);
    }
    fixture.now += 125ms; // 75 ms after the reservations end: less than one token has accrued
    return fixture.receiveRequest(50ms) != TokenOutcome::Granted;
}

bool releasesAfterReservationsExpire(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(10s);
    fixture.now += 1s;
    fixture.receiveRequest(50ms);
    fixture.leases.held.reset();
    fixture.stateMachine.onReleasing(partitionOf(Workspace), 1, Other.host, fixture.now);
    const bool isEarly = !fixture.stateMachine.takeActions().released.empty();
    fixture.stateMachine.tick(fixture.now + 51ms);
    return !isEarly && fixture.stateMachine.takeActions().released.size() == 1;
}

bool refusesHandoverOfAnotherLease(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(2s, lease::LeaseId { Other, 7 });
    fixture.stateMachine.onMessage(Other, handoverOf(6, 5), fixture.now);
    fixture.stateMachine.onMessage(Third, handoverOf(7, 5), fixture.now);
    return fixture.admitNow(5) == 0;
}

bool appliesHandoverOnce(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(2s, lease::LeaseId { Other, 7 });
    fixture.stateMachine.onMessage(Other, handoverOf(7, 2), fixture.now);
    fixture.stateMachine.onMessage(Other, handoverOf(7, 2), fixture.now);
    return fixture.admitNow(5) == 2;
}

bool accruesNoFasterThanASlowClock(const LimiterGuards &guards)
{
    LimiterFixture fixture(guards);
    fixture.holdLease(10s);
    // A fast clock shows 100 ms before 100 ms of real time have passed, so that a token that
    // accrues by this clock without the drift bound comes too early.
    fixture.now += 100ms;
    return fixture.admitNow(1) == 0;
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
                    ignoresLateReply },
        GuardCase { "ChecksIncarnation", [](LimiterGuards &g) { g.checksIncarnation = false; },
                    ignoresReplyToFormerProcess },
        GuardCase { "EndsUseWithLease", [](LimiterGuards &g) { g.endsUseWithLease = false; },
                    grantsWithinLeaseOnly },
        GuardCase { "DebitsBeforeTelling", [](LimiterGuards &g) { g.debitsBeforeTelling = false; },
                    debitsBeforeTelling },
        GuardCase { "ReservesTokensInUse", [](LimiterGuards &g) { g.reservesTokensInUse = false; },
                    keepsRoomOfReservedTokens },
        GuardCase { "WaitsBeforeRelease", [](LimiterGuards &g) { g.waitsBeforeRelease = false; },
                    releasesAfterReservationsExpire },
        GuardCase { "ChecksPredecessor", [](LimiterGuards &g) { g.checksPredecessor = false; },
                    refusesHandoverOfAnotherLease },
        GuardCase { "AcceptsHandoverOnce", [](LimiterGuards &g) { g.acceptsHandoverOnce = false; },
                    appliesHandoverOnce },
        GuardCase { "AllowsForDrift", [](LimiterGuards &g) { g.allowsForDrift = false; },
                    accruesNoFasterThanASlowClock }),
    [](const auto &info) { return info.param.name; });

TEST(LimiterStateMachine_Tests, Admit_LeaseEnded_AdmitsNothingFromTheBucket)
{
    // [GIVEN] A holder with a full bucket
    LimiterFixture fixture;
    fixture.holdLease(2s);
    fixture.now += 1s;

    // [WHEN] Its process resumes after the lease has ended
    fixture.now += 10s;

    // [THEN] It admits nothing
    EXPECT_EQ(fixture.admitNow(5), 0U);
}

TEST(LimiterStateMachine_Tests, Admit_SettingsChangeWhileRunning_NeverMoreThanTheLargerBurst)
{
    // [GIVEN] A full bucket of five, all spent
    LimiterFixture fixture;
    fixture.holdLease(10s);
    fixture.now += 1s;
    EXPECT_EQ(fixture.admitNow(5), 5U);

    // [WHEN] The burst grows to eight, and the workspace is removed and published again
    auto grown = std::make_shared<settings::Settings>();
    grown->workspaces[Workspace] = { Workspace, 10, 8, 1, {} };
    fixture.stateMachine.applySettings(grown, fixture.now);
    fixture.stateMachine.applySettings(std::make_shared<settings::Settings>(), fixture.now);
    fixture.stateMachine.tick(fixture.now);
    fixture.stateMachine.applySettings(grown, fixture.now);

    // [THEN] The changes of the settings add no token
    EXPECT_EQ(fixture.admitNow(5), 0U);
}

TEST(LimiterStateMachine_Tests, Admit_TokenComesSoon_WaitsInsteadOfRefusing)
{
    // [GIVEN] A holder whose next token is available in 50 ms
    LimiterFixture fixture;
    fixture.holdLease(10s);
    fixture.now += 51ms;

    // [WHEN] A request arrives
    EXPECT_EQ(fixture.admitNow(1), 0U);

    // [THEN] It is admitted exactly once, with that token
    fixture.now += 50ms;
    fixture.stateMachine.tick(fixture.now);
    EXPECT_EQ(LimiterFixture::admitted(fixture.stateMachine.takeActions()), 1U);
    fixture.stateMachine.tick(fixture.now + 1s);
    EXPECT_TRUE(fixture.stateMachine.takeActions().decisions.empty());
}

TEST(LimiterStateMachine_Tests, OnMessage_ReplyRepeated_OneDecision)
{
    // [GIVEN] A request that waits for a token from another host
    LimiterFixture fixture;
    const std::uint64_t id = fixture.requestToken();

    // [THEN] The first reply admits it and the second does nothing
    EXPECT_EQ(fixture.receiveReply(id, Self.incarnation), 1U);
    EXPECT_EQ(fixture.receiveReply(id, Self.incarnation), 0U);
}

TEST(LimiterStateMachine_Tests, Tick_NoHolderAnswers_RefusesAsNotRunInTime)
{
    // [GIVEN] A request whose TokenRequest is lost
    LimiterFixture fixture;
    fixture.requestToken();

    // [WHEN] No host replies
    std::vector<Decision> decisions;
    for (int step = 0; step < 100; ++step) {
        fixture.now += 5ms;
        fixture.stateMachine.tick(fixture.now);
        std::ranges::move(fixture.stateMachine.takeActions().decisions,
                          std::back_inserter(decisions));
    }

    // [THEN] It is refused exactly once, with verdict NotRun
    ASSERT_EQ(decisions.size(), 1U);
    ASSERT_FALSE(decisions[0].result);
    EXPECT_EQ(decisions[0].result.error().reason, core::Reason::LimiterUnavailable);
    EXPECT_EQ(decisions[0].result.error().verdict, core::Verdict::NotRun);
}
