#include "servinggate.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace std::chrono_literals;

TEST(ServingGate_Tests, CheckServing_FreshnessNeverSet_Refuses)
{
    core::ManualClock clock;
    const daemon::ServingGate gate(clock);

    const auto result = gate.checkServing();

    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().reason, core::Reason::SettingsStale);
    EXPECT_EQ(result.error().verdict, core::Verdict::NotRun);
}

TEST(ServingGate_Tests, CheckServing_ProcessResumedAfterFreshnessExpired_Refuses)
{
    // [GIVEN] A gate that is fresh for 3 s
    core::ManualClock clock;
    daemon::ServingGate gate(clock);
    gate.setFreshUntil(clock.now() + 3s);
    ASSERT_TRUE(gate.checkServing().has_value());

    // [WHEN] The process is frozen for 4 s, so that the freshness is not renewed
    clock.advance(4s);

    // [THEN] The first request after it resumes is refused
    EXPECT_FALSE(gate.checkServing().has_value());
}

TEST(ServingGate_Tests, CheckServing_OutOfServiceTimePassed_RefusesAsDraining)
{
    // [GIVEN] A fresh host that leaves service in 2 s
    core::ManualClock clock;
    daemon::ServingGate gate(clock);
    gate.setFreshUntil(clock.now() + 1h);
    gate.setOutOfServiceAt(clock.now() + 2s);
    ASSERT_TRUE(gate.checkServing().has_value());

    // [WHEN] The 2 s have passed
    clock.advance(2s);

    // [THEN] New requests are refused with the reason "draining"
    const auto result = gate.checkServing();
    ASSERT_FALSE(result.has_value());
    EXPECT_EQ(result.error().reason, core::Reason::Draining);
}
