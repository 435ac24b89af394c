#include <gtest/gtest.h>

#include "fleetcodec.h"

namespace damaskgate::fleet {

TEST(FleetCodec_Tests, Decode_EncodedHeartbeat_IsEqual)
{
    // [GIVEN] A heartbeat with all fields set
    Heartbeat heartbeat;
    heartbeat.state = { core::DomainName("north"),    true, false, 50, 77,
                        std::chrono::milliseconds(40) };
    heartbeat.isHostListRequested = true;
    heartbeat.scope = GossipScope::Domain;
    heartbeat.knownHosts = { core::HostName("10.1.0.1") };
    heartbeat.gossipItems = { { 2, 3, 4, 5, 6, true } };
    heartbeat.indirectHeartbeats = { { core::HostName("10.1.0.2"), std::chrono::milliseconds(9),
                                       true, true, 10 } };

    // [WHEN] It is encoded and decoded
    const auto decoded = decode(encode(heartbeat));

    // [THEN] All fields keep their values
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->state.domain, heartbeat.state.domain);
    EXPECT_EQ(decoded->state.isLeaving, true);
    EXPECT_EQ(decoded->state.isServing, false);
    EXPECT_EQ(decoded->state.corePercent, 50);
    EXPECT_EQ(decoded->state.dataRevision, 77U);
    EXPECT_EQ(decoded->state.sourceAge, heartbeat.state.sourceAge);
    EXPECT_TRUE(decoded->isHostListRequested);
    EXPECT_EQ(decoded->scope, GossipScope::Domain);
    EXPECT_EQ(decoded->knownHosts, heartbeat.knownHosts);
    EXPECT_EQ(decoded->gossipItems, heartbeat.gossipItems);
    EXPECT_EQ(decoded->indirectHeartbeats, heartbeat.indirectHeartbeats);
}

TEST(FleetCodec_Tests, Decode_NoSourceAge_IsEmpty)
{
    const auto decoded = decode(encode(Heartbeat {}));
    ASSERT_TRUE(decoded);
    EXPECT_FALSE(decoded->state.sourceAge);
}

TEST(FleetCodec_Tests, Decode_Garbage_IsBadRequest)
{
    const std::vector<std::byte> garbage(33, std::byte { 0xee });
    const auto decoded = decode(garbage);
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().reason, core::Reason::BadRequest);
}

} // namespace damaskgate::fleet
