#include <gtest/gtest.h>

#include "livesettings.h"
#include "servingstate.h"

namespace damaskgate::gateway {

TEST(ServingState_Tests, CheckServing_NothingRead_IsRefusedAsNotRun)
{
    // [GIVEN] A host that has read nothing
    LiveSettings live;
    upstreams::EndpointSelector book({}, {}, 1);
    ServingState state(live, book);

    // [THEN] It is not ready, and its refusal says that nothing has run
    const auto serving = state.checkServing();
    ASSERT_FALSE(serving);
    EXPECT_EQ(serving.error().reason, core::Reason::SettingsStale);
    EXPECT_EQ(serving.error().verdict, core::Verdict::NotRun);
    EXPECT_FALSE(state.isReady());
}

TEST(ServingState_Tests, IsReady_ReadThenLeaving_StillServes)
{
    // [GIVEN] A host that has read settings and endpoints
    LiveSettings live;
    upstreams::EndpointSelector book({}, {}, 1);
    ServingState state(live, book);
    live.replace({ { 1, {} }, {}, {}, {}, {}, {}, {} });
    book.setEndpoints({}, true, core::Instant {});
    EXPECT_TRUE(state.isReady());

    // [WHEN] It is told to stop
    state.leave();

    // [THEN] It is no longer ready but serves what still comes
    EXPECT_FALSE(state.isReady());
    EXPECT_TRUE(state.checkServing());
}

} // namespace damaskgate::gateway
