#include <gtest/gtest.h>

#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SourceReachability_Tests : public testing::Test
{
protected:
    const core::Instant start { std::chrono::hours(9) };
    SourceReachability reachability { this->start };
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

    // [THEN] It is reachable again from its return on, even within the grace period
    this->reachability.update(true, this->start + milliseconds(900));
    EXPECT_EQ(this->reachability.reachableSince(), this->start + milliseconds(900));
}

} // namespace damaskgate::mirror
