#include <gtest/gtest.h>

#include "fleetcodec.h"

namespace damaskgate::fleet {

TEST(FleetCodec_Tests, Decode_EncodedBeat_IsEqual)
{
    // [GIVEN] A beat with all fields set
    Beat beat;
    beat.state = { core::DomainName("north"), true, false, 50, 77, std::chrono::milliseconds(40) };
    beat.isAsking = true;
    beat.spread = Spread::Domain;
    beat.known = { core::HostName("10.1.0.1") };
    beat.notes = { { 2, 3, 4, 5, 6 } };
    beat.vouches = { { core::HostName("10.1.0.2"), std::chrono::milliseconds(9), true, true, 10 } };

    // [WHEN] It goes over the wire
    const auto decoded = decode(encode(beat));

    // [THEN] Nothing is lost
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->state.domain, beat.state.domain);
    EXPECT_EQ(decoded->state.isLeaving, true);
    EXPECT_EQ(decoded->state.isServing, false);
    EXPECT_EQ(decoded->state.corePercent, 50);
    EXPECT_EQ(decoded->state.dataRevision, 77U);
    EXPECT_EQ(decoded->state.sourceAge, beat.state.sourceAge);
    EXPECT_TRUE(decoded->isAsking);
    EXPECT_EQ(decoded->spread, Spread::Domain);
    EXPECT_EQ(decoded->known, beat.known);
    EXPECT_EQ(decoded->notes, beat.notes);
    EXPECT_EQ(decoded->vouches, beat.vouches);
}

TEST(FleetCodec_Tests, Decode_HostThatDoesNotRead_HasNoSourceAge)
{
    const auto decoded = decode(encode(Beat {}));
    ASSERT_TRUE(decoded);
    EXPECT_FALSE(decoded->state.sourceAge);
}

TEST(FleetCodec_Tests, Decode_Garbage_IsRefused)
{
    const std::vector<std::byte> garbage(33, std::byte { 0xee });
    const auto decoded = decode(garbage);
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().reason, core::Reason::BadRequest);
}

} // namespace damaskgate::fleet
