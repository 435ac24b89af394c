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

    /** @return all hosts except that of @p rank; the first @p reaching hosts reach the source. */
    std::vector<ReaderCandidate> otherHosts(std::size_t rank, std::size_t reaching) const
    {
        std::vector<ReaderCandidate> others;
        for (std::size_t other = 0; other < this->hosts.size(); ++other) {
            if (other != rank) {
                others.push_back({ this->hosts[other],
                                   other < reaching ? std::optional(this->now) : std::nullopt });
            }
        }
        return others;
    }

    bool isElected(std::size_t rank, std::size_t reaching, core::Duration after)
    {
        ReaderElection election(this->hosts[rank]);
        election.shouldRead(this->otherHosts(rank, reaching), this->now);
        return election.shouldRead(this->otherHosts(rank, reaching), this->now + after);
    }

    std::vector<core::HostName> hosts;
    core::Instant now { std::chrono::hours(1) };
};

TEST_F(ReaderElection_Tests, ShouldRead_HighestRanks_AtOnce)
{
    EXPECT_TRUE(this->isElected(0, 0, core::Duration::zero()));
    EXPECT_TRUE(this->isElected(1, 0, core::Duration::zero()));
}

TEST_F(ReaderElection_Tests, ShouldRead_LargerCpuQuota_RanksFirst)
{
    // [GIVEN] The two hosts ranked last by name hash have a larger CPU quota than all others
    const std::size_t last = this->hosts.size() - 1;
    auto others = this->otherHosts(0, 0);
    for (ReaderCandidate &other : others) {
        other.corePercent =
            other.name == this->hosts[last] || other.name == this->hosts[last - 1] ? 50 : 10;
    }

    // [THEN] They read at once; the host ranked first by name hash does not
    EXPECT_TRUE(
        ReaderElection(this->hosts[last], 50).shouldRead(this->otherHosts(last, 0), this->now));
    EXPECT_FALSE(ReaderElection(this->hosts[0], 10).shouldRead(others, this->now));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersReachTheSource_OthersDoNot)
{
    for (std::size_t rank = 2; rank < this->hosts.size(); ++rank) {
        EXPECT_FALSE(this->isElected(rank, 2, std::chrono::seconds(1))) << rank;
    }
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersRefusedByTheSource_NextInRankReadsFirst)
{
    // [WHEN] The source refuses the first two hosts
    // [THEN] The third reads within 300 ms; a host of a low rank does so later, within 1 s
    EXPECT_TRUE(this->isElected(2, 0, milliseconds(300)));
    EXPECT_FALSE(this->isElected(40, 0, milliseconds(300)));
    EXPECT_TRUE(this->isElected(40, 0, milliseconds(1000)));
}

TEST_F(ReaderElection_Tests, ShouldRead_ReadersSilent_AreReplacedAfterMaxContactAge)
{
    // [GIVEN] A host that knows of two readers
    ReaderElection election(this->hosts[2]);
    const auto others = this->otherHosts(2, 2);
    ASSERT_FALSE(election.shouldRead(others, this->now));

    // [WHEN] They send no message for longer than MaxContactAge
    const core::Instant late = this->now + ReaderElection::MaxContactAge + milliseconds(1);
    election.shouldRead(others, late);

    // [THEN] It reads the source itself
    EXPECT_TRUE(election.shouldRead(others, late + milliseconds(250)));
}

TEST_F(ReaderElection_Tests, ShouldRead_NoOtherHost_ReadsItself)
{
    ReaderElection election(this->hosts[7]);
    EXPECT_TRUE(election.shouldRead({}, this->now));
}

} // namespace damaskgate::mirror
