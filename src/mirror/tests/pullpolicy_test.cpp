#include <gtest/gtest.h>

#include "damaskgate/mirror/pullpolicy.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;

class PullPolicy_Tests : public testing::Test
{
protected:
    std::optional<core::HostName> pulledFrom(std::uint64_t heldRevision, core::Duration later = {})
    {
        return this->policy.hostToPullFrom(heldRevision, this->now + later);
    }

    const core::HostName localHost { "10.1.0.1" };
    const core::HostName remoteHost { "10.2.0.1" };
    core::Instant now { std::chrono::hours(1) };
    PullPolicy policy;
};

TEST_F(PullPolicy_Tests, HostToPullFrom_NothingNew_IsNothing)
{
    this->policy.onRevisionAnnounced(this->localHost, 5, true, 5, this->now);
    EXPECT_FALSE(this->pulledFrom(5));
}

TEST_F(PullPolicy_Tests, HostToPullFrom_LocalHost_AtOnce)
{
    this->policy.onRevisionAnnounced(this->localHost, 6, true, 5, this->now);
    EXPECT_EQ(this->pulledFrom(5), this->localHost);
    EXPECT_FALSE(this->pulledFrom(6));
}

TEST_F(PullPolicy_Tests, HostToPullFrom_RemoteHost_WaitsForALocalOne)
{
    // [GIVEN] A large change announced by a reader of another failure domain
    this->policy.onRevisionAnnounced(this->remoteHost, 6, false, 5, this->now);

    // [THEN] This host waits and then pulls from a local host that has the change
    EXPECT_FALSE(this->pulledFrom(5));
    this->policy.onRevisionAnnounced(this->localHost, 6, true, 5, this->now + milliseconds(80));
    EXPECT_EQ(this->pulledFrom(5, milliseconds(80)), this->localHost);
}

TEST_F(PullPolicy_Tests, HostToPullFrom_RemoteHostAndNoLocalOne_IsReturnedAfterTheDelay)
{
    // [GIVEN] A burst of changes that no local host has announced
    for (int step = 0; step < 6; ++step) {
        this->policy.onRevisionAnnounced(this->remoteHost, 6 + step, false, 5,
                                         this->now + milliseconds(50) * step);
    }

    // [THEN] The delay counts from the first announcement
    EXPECT_EQ(this->pulledFrom(5, milliseconds(300)), this->remoteHost);
}

TEST_F(PullPolicy_Tests, HostToPullFrom_PullingRemotely_AtOnce)
{
    this->policy.setPullingRemotely(true);
    this->policy.onRevisionAnnounced(this->remoteHost, 6, false, 5, this->now);
    EXPECT_EQ(this->pulledFrom(5), this->remoteHost);
}

TEST_F(PullPolicy_Tests, OnPullFailed_LocalHost_RemoteOneIsReturned)
{
    // [GIVEN] Both hosts hold the change, and the pull from the local one failed
    this->policy.onRevisionAnnounced(this->remoteHost, 6, false, 5, this->now);
    this->policy.onRevisionAnnounced(this->localHost, 6, true, 5, this->now);
    this->policy.onPullFailed(this->localHost);

    // [THEN] The remote one is returned after the delay
    EXPECT_EQ(this->pulledFrom(5, PullPolicy::RemotePullDelay), this->remoteHost);
}

} // namespace damaskgate::mirror
