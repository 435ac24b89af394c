#include <gtest/gtest.h>

#include "damaskgate/mirror/pullpolicy.h"

namespace damaskgate::mirror {

using std::chrono::milliseconds;

class PullPolicy_Tests : public testing::Test
{
protected:
    std::optional<core::HostName> asked(std::uint64_t held, core::Duration later = {})
    {
        return this->plan.hostToPullFrom(held, this->now + later);
    }

    const core::HostName near { "10.1.0.1" };
    const core::HostName far { "10.2.0.1" };
    core::Instant now { std::chrono::hours(1) };
    PullPolicy plan;
};

TEST_F(PullPolicy_Tests, HostToAsk_NothingNew_IsNothing)
{
    this->plan.onRevisionAnnounced(this->near, 5, true, 5, this->now);
    EXPECT_FALSE(this->asked(5));
}

TEST_F(PullPolicy_Tests, HostToAsk_NearHost_AtOnce)
{
    this->plan.onRevisionAnnounced(this->near, 6, true, 5, this->now);
    EXPECT_EQ(this->asked(5), this->near);
    EXPECT_FALSE(this->asked(6));
}

TEST_F(PullPolicy_Tests, HostToAsk_FarHost_WaitsForANearOne)
{
    // [GIVEN] A large change, told by a reader of another failure domain
    this->plan.onRevisionAnnounced(this->far, 6, false, 5, this->now);

    // [THEN] Most hosts leave the way across to a few of theirs
    EXPECT_FALSE(this->asked(5));
    this->plan.onRevisionAnnounced(this->near, 6, true, 5, this->now + milliseconds(80));
    EXPECT_EQ(this->asked(5, milliseconds(80)), this->near);
}

TEST_F(PullPolicy_Tests, HostToAsk_FarHostAndNoNearOne_IsAskedAfterTheDelay)
{
    // [GIVEN] A storm of changes, and no near host that has them
    for (int step = 0; step < 6; ++step) {
        this->plan.onRevisionAnnounced(this->far, 6 + step, false, 5,
                                       this->now + milliseconds(50) * step);
    }

    // [THEN] The delay counts from the first of them
    EXPECT_EQ(this->asked(5, milliseconds(300)), this->far);
}

TEST_F(PullPolicy_Tests, HostToAsk_HostThatPullsFar_AtOnce)
{
    this->plan.setPullingRemotely(true);
    this->plan.onRevisionAnnounced(this->far, 6, false, 5, this->now);
    EXPECT_EQ(this->asked(5), this->far);
}

TEST_F(PullPolicy_Tests, OnFailed_NearHost_FarOneIsAsked)
{
    // [GIVEN] Both hosts have it, and the near one does not answer
    this->plan.onRevisionAnnounced(this->far, 6, false, 5, this->now);
    this->plan.onRevisionAnnounced(this->near, 6, true, 5, this->now);
    this->plan.onPullFailed(this->near);

    // [THEN] The other one is asked when its time has come
    EXPECT_EQ(this->asked(5, PullPolicy::RemotePullDelay), this->far);
}

} // namespace damaskgate::mirror
