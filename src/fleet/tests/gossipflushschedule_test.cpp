#include <gtest/gtest.h>

#include "gossipflushschedule.h"

namespace damaskgate::fleet {

using std::chrono::milliseconds;

class GossipFlushSchedule_Tests : public testing::Test
{
protected:
    core::Instant now { std::chrono::hours(1) };
    GossipFlushSchedule schedule;
};

TEST_F(GossipFlushSchedule_Tests, OnQueued_UsualItems_WaitForOneMessage)
{
    // [GIVEN] An item
    const auto due = this->schedule.onQueued(false, this->now);
    ASSERT_TRUE(due);
    EXPECT_EQ(*due - this->now, milliseconds(30));

    // [THEN] Later items do not move the time of its message
    EXPECT_FALSE(this->schedule.onQueued(false, this->now + milliseconds(20)));
}

TEST_F(GossipFlushSchedule_Tests, OnQueued_UrgentItem_TakesTheQueuedItemsWithIt)
{
    // [GIVEN] A usual item
    this->schedule.onQueued(false, this->now);

    // [WHEN] An urgent item follows
    const auto due = this->schedule.onQueued(true, this->now + milliseconds(10));

    // [THEN] Both are sent soon, and further items do not move that time
    ASSERT_TRUE(due);
    EXPECT_LE(*due - this->now, milliseconds(15));
    EXPECT_FALSE(this->schedule.onQueued(true, this->now + milliseconds(11)));
    EXPECT_FALSE(this->schedule.onQueued(false, this->now + milliseconds(11)));
}

// The load: all endpoints of a service fail at once, and each failure is urgent.
TEST_F(GossipFlushSchedule_Tests, OnQueued_UrgentItemEveryMillisecond_MessagesAreLimited)
{
    // [WHEN] An urgent item is queued in each millisecond of a second
    int flushes = 0;
    std::optional<core::Instant> due;
    for (int i = 0; i < 1000; ++i) {
        this->now += milliseconds(1);
        if (due && *due <= this->now) {
            this->schedule.onFlushed(this->now);
            due.reset();
            ++flushes;
        }
        if (const auto changed = this->schedule.onQueued(true, this->now)) {
            due = changed;
        }
    }

    // [THEN] At most 100 messages are sent
    EXPECT_LE(flushes, 100);
    EXPECT_GT(flushes, 50);
}

} // namespace damaskgate::fleet
