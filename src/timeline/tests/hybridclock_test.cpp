#include "damaskgate/timeline/hybridclock.h"

#include <gtest/gtest.h>

using namespace damaskgate::timeline;

TEST(HybridClock_Tests, Tick_WallClockStopsOrGoesBack_TimeStillIncreases)
{
    // [GIVEN] Wall-clock times that repeat and go back
    HybridClock clock;
    HybridTime previous;
    for (const std::int64_t wall : { 100, 100, 90, 50, 101, 101 }) {
        // [WHEN] An event happens
        const HybridTime time = clock.tick(wall);

        // [THEN] Its time is after that of the previous event
        EXPECT_GT(time, previous);
        previous = time;
    }
}

TEST(HybridClock_Tests, Observe_RemoteAhead_LaterEventsFollowIt)
{
    // [GIVEN] A process whose wall clock is behind that of another
    HybridClock clock;
    const HybridTime remote { 5000, 7 };

    // [WHEN] A message from the other process arrives
    clock.observe(remote, 1000);

    // [THEN] The time of the next event is after that of the message
    EXPECT_GT(clock.tick(1001), remote);
}

TEST(HybridClock_Tests, Observe_RemoteTooFarAhead_IsIgnored)
{
    // [GIVEN] A remote time beyond the limit
    HybridClock clock;
    const std::int64_t wall = 1000;

    // [WHEN] It is observed
    clock.observe({ wall + HybridClock::MaxAheadMicros + 1, 0 }, wall);

    // [THEN] The local time stays at the wall clock
    EXPECT_EQ(clock.tick(wall), (HybridTime { wall, 0 }));
}

TEST(HybridClock_Tests, ParseHybridTime_ValidAndInvalidTexts_AcceptsOnlyTimes)
{
    // [GIVEN] Valid and invalid texts
    const std::pair<const char *, bool> rows[] = {
        { "12.3", true }, { "0.0", true },  { "12", false },   { "", false },
        { ".", false },   { "1.x", false }, { "1.2 ", false },
    };
    for (const auto &[text, isValid] : rows) {
        // [WHEN] They are parsed
        // [THEN] Only valid times are accepted, and toText() restores their text
        const auto time = parseHybridTime(text);
        ASSERT_EQ(time.has_value(), isValid) << text;
        if (time) {
            EXPECT_EQ(toText(*time), text);
        }
    }
}
