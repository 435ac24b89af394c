#include "membercodec.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::membership;

TEST(MemberCodec_Tests, Decode_EncodedProbe_GivesTheSameProbe)
{
    // [GIVEN] A probe with news
    const MemberUpdate update { core::HostName("b"), 7, 2, MemberState::Leaving };
    const Probe probe { 42, { 9, "feed" }, { update } };

    // [WHEN] It is encoded and decoded
    const auto decoded = decode(encode(probe));

    // [THEN] Nothing is lost
    ASSERT_TRUE(decoded.has_value());
    const auto &result = std::get<Probe>(*decoded);
    EXPECT_EQ(result.sequence, 42U);
    EXPECT_EQ(result.revision, probe.revision);
    EXPECT_EQ(result.updates, probe.updates);
}

TEST(MemberCodec_Tests, Decode_TruncatedMessage_GivesNothingOrAMessage)
{
    // [GIVEN] An encoded message
    const std::vector<std::byte> whole = encode(IndirectProbe { 3, core::HostName("target") });

    // [WHEN] Any tail is cut off
    for (std::size_t size = 0; size < whole.size(); ++size) {
        // [THEN] Decoding neither crashes nor throws
        EXPECT_NO_THROW(decode(std::span(whole).first(size)));
    }
}
