#include "damaskgate/limits/tokenbucket.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::limits;
using namespace std::chrono_literals;

namespace {

const core::Instant Start { 1h };

int consumeAll(TokenBucket &bucket, core::Instant now)
{
    int consumed = 0;
    while (bucket.consume(now)) {
        ++consumed;
    }
    return consumed;
}

} // namespace

TEST(TokenBucket_Tests, Consume_NewBucket_IsEmptyAndFillsToItsBurst)
{
    TokenBucket bucket(10, 5, Start);
    EXPECT_EQ(consumeAll(bucket, Start), 0);
    EXPECT_EQ(consumeAll(bucket, Start + 200ms), 2);
    EXPECT_EQ(consumeAll(bucket, Start + 10s), 5);
}

TEST(TokenBucket_Tests, Reserve_TokensInUse_KeepTheirRoom)
{
    // [GIVEN] A full bucket whose tokens are all reserved for 50 ms
    TokenBucket bucket(100, 5, Start);
    const core::Instant now = Start + 1s;
    for (int count = 0; count < 5; ++count) {
        EXPECT_TRUE(bucket.reserve(now, now + 50ms));
    }

    // [THEN] Tokens accrue only after the reservations have ended
    EXPECT_EQ(consumeAll(bucket, now + 49ms), 0);
    EXPECT_EQ(consumeAll(bucket, now + 70ms), 2);
}

TEST(TokenBucket_Tests, AcceptHandover_AfterUse_NeverPassesAFullStart)
{
    // [GIVEN] A bucket whose tokens accrued since its start are consumed
    TokenBucket bucket(10, 5, Start);
    EXPECT_EQ(consumeAll(bucket, Start + 300ms), 3);

    // [WHEN] The five tokens left by the previous holder arrive late
    bucket.acceptHandover(5, Start + 300ms);

    // [THEN] It contains as many tokens as if it had started full
    EXPECT_EQ(consumeAll(bucket, Start + 300ms), 2);
}

TEST(TokenBucket_Tests, Configure_SmallerBurst_DropsTheSurplus)
{
    TokenBucket bucket(10, 5, Start);
    bucket.configure(10, 2, Start + 10s);
    EXPECT_EQ(consumeAll(bucket, Start + 10s), 2);
}
