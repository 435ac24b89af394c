#include <gtest/gtest.h>

#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SourceReachability_Tests : public testing::Test
{
protected:
    const core::Instant start { std::chrono::hours(9) };
    const core::Duration maxGap = milliseconds(1500);
    SourceReachability reachability { this->start, this->maxGap };
};

TEST_F(SourceReachability_Tests, ReachableSince_HostStartsWhileSourceIsReachable_IsLongAgo)
{
    // [GIVEN] A host that restarted while other hosts reached the source
    this->reachability.update(false, this->start);

    // [WHEN] It learns this within the grace period
    EXPECT_TRUE(this->reachability.update(true, this->start + milliseconds(370)));

    // [THEN] The source counts as reachable since long before the start, so that a registration
    // that is removed now is dropped at once and not kept as after an outage
    ASSERT_TRUE(this->reachability.reachableSince());
    EXPECT_LT(*this->reachability.reachableSince(), this->start - seconds(10));
}

TEST_F(SourceReachability_Tests, ReachableSince_HostStartsInAnOutage_IsItsEnd)
{
    this->reachability.update(false, this->start + seconds(4));
    this->reachability.update(true, this->start + seconds(5));
    EXPECT_EQ(this->reachability.reachableSince(), this->start + seconds(5));
}

TEST_F(SourceReachability_Tests, ReachableSince_OutageAfterTheFirstContact_IsItsEnd)
{
    // [GIVEN] A source that was reachable at the start and is lost soon after
    this->reachability.update(true, this->start + milliseconds(100));
    EXPECT_TRUE(this->reachability.update(false, this->start + milliseconds(400)));
    EXPECT_FALSE(this->reachability.reachableSince());

    // [THEN] After longer than the longest gap it is reachable again from its return on
    this->reachability.update(true, this->start + milliseconds(1901));
    EXPECT_EQ(this->reachability.reachableSince(), this->start + milliseconds(1901));
}

// Guards against requests to an endpoint whose registration was removed just after both readers
// were cut off from the source: it was kept as after an outage of the source.
TEST_F(SourceReachability_Tests, ReachableSince_ReadersChange_IsNoOutage)
{
    // [GIVEN] A source that has been reachable for a while
    this->reachability.update(true, this->start + seconds(3));

    // [WHEN] The readers lose it, and other hosts reach it soon after
    EXPECT_TRUE(this->reachability.update(false, this->start + seconds(9)));
    EXPECT_FALSE(this->reachability.reachableSince());
    EXPECT_TRUE(this->reachability.update(true, this->start + milliseconds(10500)));

    // [THEN] It counts as reachable without interruption
    EXPECT_EQ(this->reachability.reachableSince(), this->start + seconds(3));
}

TEST_F(SourceReachability_Tests, ReachableSince_ShortGapsInARow_AreAnOutage)
{
    // [GIVEN] Two short gaps with a short contact between them
    this->reachability.update(true, this->start + seconds(3));
    this->reachability.update(false, this->start + seconds(9));
    this->reachability.update(true, this->start + seconds(10));
    this->reachability.update(false, this->start + milliseconds(10200));
    this->reachability.update(true, this->start + milliseconds(11400));

    // [THEN] Together they are longer than the longest gap
    EXPECT_EQ(this->reachability.reachableSince(), this->start + milliseconds(11400));

    // [WHEN] A further short gap follows much later
    this->reachability.update(false, this->start + seconds(20));
    this->reachability.update(true, this->start + seconds(21));

    // [THEN] It is no outage
    EXPECT_EQ(this->reachability.reachableSince(), this->start + milliseconds(11400));
}

} // namespace damaskgate::mirror
