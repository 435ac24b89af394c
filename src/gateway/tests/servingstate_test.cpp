#include <gtest/gtest.h>

#include "livesettings.h"
#include "servingstate.h"

namespace damaskgate::gateway {

TEST(ServingState_Tests, CheckServing_NothingRead_IsRefusedAsNotRun)
{
    // [GIVEN] A host that has read no settings and no endpoints
    LiveSettings liveSettings;
    upstreams::EndpointSelector selector({}, {}, 1);
    ServingState servingState(liveSettings, selector);

    // [THEN] The host is not ready and refuses requests with the verdict not-run
    const auto serving = servingState.checkServing();
    ASSERT_FALSE(serving);
    EXPECT_EQ(serving.error().reason, core::Reason::SettingsStale);
    EXPECT_EQ(serving.error().verdict, core::Verdict::NotRun);
    EXPECT_FALSE(servingState.isReady());
}

TEST(ServingState_Tests, IsReady_ReadThenLeaving_StillServes)
{
    // [GIVEN] A host that has read settings and endpoints
    LiveSettings liveSettings;
    upstreams::EndpointSelector selector({}, {}, 1);
    ServingState servingState(liveSettings, selector);
    liveSettings.replace({ { 1, {} }, {}, {}, {}, {}, {}, {} });
    selector.setEndpoints({}, true, core::Instant {});
    EXPECT_TRUE(servingState.isReady());

    // [WHEN] The host starts to leave
    servingState.startLeaving();

    // [THEN] The host is no longer ready but serves requests that still arrive
    EXPECT_FALSE(servingState.isReady());
    EXPECT_TRUE(servingState.checkServing());
}

} // namespace damaskgate::gateway
