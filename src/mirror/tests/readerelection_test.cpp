#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/mirror/readerelection.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;

class ReaderElection_Tests : public testing::Test
{
protected:
    ReaderElection_Tests()
    {
        for (int number = 1; number <= 44; ++number) {
            this->hosts.emplace_back("10.1.0." + std::to_string(number));
        }
        this->hosts = core::rankHosts(this->hosts, "source-reader");
    }

    /** @return every host but the one of @p rank; the first @p fresh ones reach the source. */
    std::vector<ReaderCandidate> viewOf(std::size_t rank, std::size_t fresh) const
    {
        std::vector<ReaderCandidate> others;
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (other != rank) {
                others.push_back({ this->hosts[other],
                                   other < fresh ? std::optional(this->now) : std::nullopt });
            }
        }
        return others;
    }

    bool isOnDuty(std::size_t rank, std::size_t fresh, core::Duration after)
    {
        ReaderElection duty(this->hosts[rank]);
        duty.shouldRead(this->viewOf(rank, fresh), this->now);
        return duty.shouldRead(this->viewOf(rank, fresh), this->now + after);
    }

    std::vector<core::HostName> hosts;
    core::Instant now { std::chrono::hours(1) };
};

TEST_F(ReaderElection_Tests, ShouldRead_FirstInRank_AtOnce)
{
    EXPECT_TRUE(this->isOnDuty(0, 0, core::Duration::zero()));
    EXPECT_TRUE(this->isOnDuty(1, 0, core::Duration::zero()));
}

TEST_F(ReaderElection_Tests, ShouldRead_StrongerHosts_GoBeforeThoseOfHigherRank)
{
    // [GIVEN] Two hosts at the end of the rank that have more of a processor than all others
    const std::size_t last = this->hosts.size() - 1;
    auto others = this->viewOf(0, 0);
    for (ReaderCandidate &other : others) {
        other.corePercent =
            other.name == this->hosts[last] || other.name == this->hosts[last - 1] ? 50 : 10;
    }

    // [THEN] They read at once, the first in rank only when they do not
    EXPECT_TRUE(ReaderElection(this->hosts[last], 50).shouldRead(this->viewOf(last, 0), this->now));
    EXPECT_FALSE(ReaderElection(this->hosts[0], 10).shouldRead(others, this->now));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersReachTheSource_OthersDoNot)
{
    for (std::size_t rank = 2; rank < this->hosts.size(); ++rank) {
        EXPECT_FALSE(this->isOnDuty(rank, 2, std::chrono::seconds(1))) << rank;
    }
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersRefusedByTheSource_NextStepsInFirst)
{
    // [WHEN] The first two are turned away
    // [THEN] The third steps in well within a second, the last ones give it time
    EXPECT_TRUE(this->isOnDuty(2, 0, milliseconds(300)));
    EXPECT_FALSE(this->isOnDuty(40, 0, milliseconds(300)));
    EXPECT_TRUE(this->isOnDuty(40, 0, milliseconds(1000)));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReaderSilent_IsReplacedAfterItsNewsIsOld)
{
    // [GIVEN] A host that saw two readers
    ReaderElection duty(this->hosts[2]);
    const auto others = this->viewOf(2, 2);
    ASSERT_FALSE(duty.shouldRead(others, this->now));

    // [WHEN] Nothing more is heard of them
    const core::Instant late = this->now + ReaderElection::MaxContactAge + milliseconds(1);
    duty.shouldRead(others, late);

    // [THEN] It reads itself
    EXPECT_TRUE(duty.shouldRead(others, late + milliseconds(250)));
}

TEST_F(ReaderElection_Tests, ShouldRead_NoOtherHost_ReadsItself)
{
    ReaderElection duty(this->hosts[7]);
    EXPECT_TRUE(duty.shouldRead({}, this->now));
}

} // namespace damaskgate::mirror
