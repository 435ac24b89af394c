#include "damaskgate/supervise/restartpolicy.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::supervise;
using namespace std::chrono_literals;

namespace {

constexpr core::Instant Start { 1h };

RestartLimits limitsForTests()
{
    return { .maxRestarts = 3, .period = 10s, .firstBackoff = 100ms, .maxBackoff = 300ms };
}

struct RuleRow
{
    RestartRule rule;
    ExitKind kind;
    ExitAction expected;
};

} // namespace

TEST(RestartPolicy_Tests, OnExit_EachRuleAndKind_FollowsTheTable)
{
    // [GIVEN] Every rule with every kind of exit
    const RuleRow rows[] = {
        { RestartRule::Permanent, ExitKind::Normal, ExitAction::Restart },
        { RestartRule::Permanent, ExitKind::Failure, ExitAction::Restart },
        { RestartRule::Transient, ExitKind::Normal, ExitAction::LeaveStopped },
        { RestartRule::Transient, ExitKind::Failure, ExitAction::Restart },
        { RestartRule::Temporary, ExitKind::Normal, ExitAction::LeaveStopped },
        { RestartRule::Temporary, ExitKind::Failure, ExitAction::LeaveStopped },
    };
    for (const RuleRow &row : rows) {
        // [WHEN] A child ends
        RestartPolicy policy(limitsForTests());
        const ExitDecision decision = policy.onExit(row.rule, row.kind, Start);

        // [THEN] The action matches the table
        EXPECT_EQ(decision.action, row.expected);
    }
}

TEST(RestartPolicy_Tests, OnExit_RepeatedFailures_BacksOffThenEscalates)
{
    // [GIVEN] A policy that allows three restarts in 10 s
    RestartPolicy policy(limitsForTests());

    // [WHEN] A child fails four times within a second
    // [THEN] The delay doubles up to maxBackoff, and the fourth failure escalates
    const core::Duration delays[] = { 100ms, 200ms, 300ms };
    core::Instant now = Start;
    for (const core::Duration delay : delays) {
        const ExitDecision decision = policy.onExit(RestartRule::Permanent, ExitKind::Failure, now);
        EXPECT_EQ(decision.action, ExitAction::Restart);
        EXPECT_EQ(decision.delay, delay);
        now += 250ms;
    }
    EXPECT_EQ(policy.onExit(RestartRule::Permanent, ExitKind::Failure, now).action,
              ExitAction::Escalate);
}

TEST(RestartPolicy_Tests, OnExit_FailuresSpreadOut_NeverEscalates)
{
    // [GIVEN] A policy that allows three restarts in 10 s
    RestartPolicy policy(limitsForTests());

    // [WHEN] A child fails 50 times, every 4 s
    // [THEN] It is restarted each time
    for (int i = 0; i < 50; ++i) {
        const ExitDecision decision =
            policy.onExit(RestartRule::Permanent, ExitKind::Failure, Start + i * 4s);
        EXPECT_EQ(decision.action, ExitAction::Restart);
    }
}

TEST(RestartPolicy_Tests, OnExit_ExitsWithoutRestart_AreNotCounted)
{
    // [GIVEN] Many exits of temporary children
    RestartPolicy policy(limitsForTests());
    for (int i = 0; i < 20; ++i) {
        policy.onExit(RestartRule::Temporary, ExitKind::Failure, Start);
    }

    // [WHEN] A permanent child fails
    const ExitDecision decision = policy.onExit(RestartRule::Permanent, ExitKind::Failure, Start);

    // [THEN] It is restarted after the first delay
    EXPECT_EQ(decision.action, ExitAction::Restart);
    EXPECT_EQ(decision.delay, core::Duration(100ms));
}
