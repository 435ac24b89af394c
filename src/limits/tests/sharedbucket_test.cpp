#include <gtest/gtest.h>

#include "damaskgate/limits/sharedbucket.h"

namespace damaskgate::limits {

using std::chrono::seconds;

class SharedBucket_Tests : public testing::Test
{
protected:
    int consumeAll(SharedBucket &bucket) const
    {
        int consumed = 0;
        while (bucket.tryConsume(this->now)) {
            ++consumed;
        }
        return consumed;
    }

    core::Instant now { std::chrono::hours(1) };
};

TEST_F(SharedBucket_Tests, TryConsume_Full_GivesTheBurst)
{
    SharedBucket bucket({ 10, 5 }, this->now);
    EXPECT_EQ(this->consumeAll(bucket), 5);
}

TEST_F(SharedBucket_Tests, ConsumeRemote_BeyondTheBurst_LeavesADebt)
{
    // [GIVEN] Hosts that together consumed ten tokens more than the burst
    SharedBucket bucket({ 10, 5 }, this->now);
    for (int i = 0; i < 15; ++i) {
        bucket.consumeRemote(this->now);
    }

    // [THEN] No token is available until the refill has made up for them
    this->now += seconds(1);
    EXPECT_EQ(this->consumeAll(bucket), 0);
    this->now += std::chrono::milliseconds(110);
    EXPECT_EQ(this->consumeAll(bucket), 1);
}

TEST_F(SharedBucket_Tests, SetReachableFraction_PartOfTheFleet_GivesItsPartOfRateAndBurst)
{
    // [GIVEN] A host that reaches a quarter of the fleet
    SharedBucket bucket({ 8, 20 }, this->now);
    bucket.setReachableFraction(0.25, this->now);

    // [THEN] A quarter of the burst is available, then a quarter of the rate
    EXPECT_EQ(this->consumeAll(bucket), 5);
    this->now += seconds(2);
    EXPECT_EQ(this->consumeAll(bucket), 4);
}

TEST_F(SharedBucket_Tests, SetReachableFraction_TinyPart_StillGivesSingleTokens)
{
    // [GIVEN] One of fifty hosts that reaches no other host
    SharedBucket bucket({ 10, 5 }, this->now);
    bucket.setReachableFraction(0.02, this->now);
    this->consumeAll(bucket);

    // [THEN] One token is available every five seconds
    this->now += seconds(6);
    EXPECT_EQ(this->consumeAll(bucket), 1);
}

TEST_F(SharedBucket_Tests, SetLimits_LowerLimit_KeepsTheDebt)
{
    // [GIVEN] A negative level under the former limits
    SharedBucket bucket({ 100, 10 }, this->now);
    for (int i = 0; i < 20; ++i) {
        bucket.consumeRemote(this->now);
    }

    // [WHEN] The limits are lowered
    bucket.setLimits({ 1, 2 }, this->now);

    // [THEN] The level stays negative and rises at the new rate
    this->now += seconds(5);
    EXPECT_EQ(this->consumeAll(bucket), 0);
}

TEST_F(SharedBucket_Tests, TimeUntilToken_Empty_IsTimeToTheNextOne)
{
    SharedBucket bucket({ 4, 1 }, this->now);
    this->consumeAll(bucket);
    EXPECT_EQ(bucket.timeUntilToken(this->now), std::chrono::milliseconds(250));
}

TEST_F(SharedBucket_Tests, Add_BeyondTheBurst_IsCut)
{
    SharedBucket bucket({ 0, 3 }, this->now);
    this->consumeAll(bucket);
    bucket.add(10, this->now);
    EXPECT_EQ(this->consumeAll(bucket), 3);
}

} // namespace damaskgate::limits
