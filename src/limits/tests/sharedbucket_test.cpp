#include <gtest/gtest.h>

#include "damaskgate/limits/sharedbucket.h"

namespace damaskgate::limits {

using std::chrono::seconds;

class SharedBucket_Tests : public testing::Test
{
protected:
    int takeAll(SharedBucket &bucket) const
    {
        int taken = 0;
        while (bucket.tryTake(this->now)) {
            ++taken;
        }
        return taken;
    }

    core::Instant now { std::chrono::hours(1) };
};

TEST_F(SharedBucket_Tests, TryTake_Full_GivesTheBurst)
{
    SharedBucket bucket({ 10, 5 }, this->now);
    EXPECT_EQ(this->takeAll(bucket), 5);
}

TEST_F(SharedBucket_Tests, TakeRemote_BeyondTheBurst_LeavesADebt)
{
    // [GIVEN] Hosts that together took ten more than there was
    SharedBucket bucket({ 10, 5 }, this->now);
    for (int i = 0; i < 15; ++i) {
        bucket.takeRemote(this->now);
    }

    // [THEN] The debt is paid before anything is given
    this->now += seconds(1);
    EXPECT_EQ(this->takeAll(bucket), 0);
    this->now += std::chrono::milliseconds(110);
    EXPECT_EQ(this->takeAll(bucket), 1);
}

TEST_F(SharedBucket_Tests, SetShare_PartOfTheFleet_GivesItsPartOfRateAndBurst)
{
    // [GIVEN] A host that hears a quarter of the fleet
    SharedBucket bucket({ 8, 20 }, this->now);
    bucket.setShare(0.25, this->now);

    // [THEN] It gives a quarter of the burst, then a quarter of the rate
    EXPECT_EQ(this->takeAll(bucket), 5);
    this->now += seconds(2);
    EXPECT_EQ(this->takeAll(bucket), 4);
}

TEST_F(SharedBucket_Tests, SetShare_TinyPart_StillGivesSingleTokens)
{
    // [GIVEN] One host of many that is cut off from all others
    SharedBucket bucket({ 10, 5 }, this->now);
    bucket.setShare(0.02, this->now);
    this->takeAll(bucket);

    // [THEN] It gives one token in five seconds
    this->now += seconds(6);
    EXPECT_EQ(this->takeAll(bucket), 1);
}

TEST_F(SharedBucket_Tests, Resize_LowerLimit_KeepsTheDebt)
{
    // [GIVEN] A debt under the former limit
    SharedBucket bucket({ 100, 10 }, this->now);
    for (int i = 0; i < 20; ++i) {
        bucket.takeRemote(this->now);
    }

    // [WHEN] The limit falls
    bucket.resize({ 1, 2 }, this->now);

    // [THEN] The debt is paid at the new rate
    this->now += seconds(5);
    EXPECT_EQ(this->takeAll(bucket), 0);
}

TEST_F(SharedBucket_Tests, UntilToken_Empty_IsTimeToTheNextOne)
{
    SharedBucket bucket({ 4, 1 }, this->now);
    this->takeAll(bucket);
    EXPECT_EQ(bucket.untilToken(this->now), std::chrono::milliseconds(250));
}

TEST_F(SharedBucket_Tests, Add_BeyondTheBurst_IsCut)
{
    SharedBucket bucket({ 0, 3 }, this->now);
    this->takeAll(bucket);
    bucket.add(10, this->now);
    EXPECT_EQ(this->takeAll(bucket), 3);
}

} // namespace damaskgate::limits
