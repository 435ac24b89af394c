#include <gtest/gtest.h>

#include "damaskgate/mirror/sourcereachability.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;
using std::chrono::seconds;

class SourceReachability_Tests : public testing::Test
{
protected:
    const core::Instant start { std::chrono::hours(9) };
    SourceReachability contact { this->start };
};

TEST_F(SourceReachability_Tests, Since_HostStartsWhileAllIsWell_IsLongAgo)
{
    // [GIVEN] A host that started anew, with the source reached by others all along
    this->contact.update(false, this->start);

    // [WHEN] It hears of that at once
    EXPECT_TRUE(this->contact.update(true, this->start + milliseconds(370)));

    // [THEN] A registration that is removed now is gone, not kept as after an outage
    ASSERT_TRUE(this->contact.reachableSince());
    EXPECT_LT(*this->contact.reachableSince(), this->start - seconds(10));
}

TEST_F(SourceReachability_Tests, Since_HostStartsInAnOutage_IsItsEnd)
{
    this->contact.update(false, this->start + seconds(4));
    this->contact.update(true, this->start + seconds(5));
    EXPECT_EQ(this->contact.reachableSince(), this->start + seconds(5));
}

TEST_F(SourceReachability_Tests, Since_OutageAfterTheFirstContact_IsItsEnd)
{
    // [GIVEN] A contact from the start, lost soon after
    this->contact.update(true, this->start + milliseconds(100));
    EXPECT_TRUE(this->contact.update(false, this->start + milliseconds(400)));
    EXPECT_FALSE(this->contact.reachableSince());

    // [THEN] Its return counts from then, however early
    this->contact.update(true, this->start + milliseconds(900));
    EXPECT_EQ(this->contact.reachableSince(), this->start + milliseconds(900));
}

} // namespace damaskgate::mirror
