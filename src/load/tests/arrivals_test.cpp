#include "damaskgate/load/arrivals.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::load;
using namespace std::chrono_literals;

TEST(Arrivals_Tests, NextGap_EachKind_KeepsTheRate)
{
    for (const bool isPoisson : { false, true }) {
        // [GIVEN] 100 requests a second
        Arrivals arrivals(100, isPoisson, 7);

        // [WHEN] 10 000 requests arrive
        core::Duration total {};
        for (int i = 0; i < 10'000; ++i) {
            total += arrivals.nextGap();
        }

        // [THEN] They take 100 s, as the rate implies
        EXPECT_NEAR(std::chrono::duration<double>(total).count(), 100, isPoisson ? 4 : 0.001);
    }
}

TEST(OfferedRate_Tests, Offer_AtTheRate_IsAlwaysWithin)
{
    // [GIVEN] A rate of 10/s and a burst of 5
    OfferedRate offered(10, 5);
    core::Instant now { 1h };

    // [WHEN] A full burst arrives at once, followed by one request every 100 ms
    // [THEN] All are within the rate
    for (int i = 0; i < 5; ++i) {
        EXPECT_TRUE(offered.offer(now));
    }
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        EXPECT_TRUE(offered.offer(now));
    }
}

TEST(OfferedRate_Tests, Offer_AboveTheRate_IsOutsideUntilTokensRecover)
{
    // [GIVEN] A workspace that sent 10 more than its burst of 5
    OfferedRate offered(10, 5);
    core::Instant now { 1h };
    for (int i = 0; i < 15; ++i) {
        EXPECT_EQ(offered.offer(now), i < 5);
    }

    // [WHEN] The workspace sends one request before its tokens recover and one after
    // [THEN] Only the second request is within its rate
    now += 900ms;
    EXPECT_FALSE(offered.offer(now));
    now += 300ms;
    EXPECT_TRUE(offered.offer(now));
}
