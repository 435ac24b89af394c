#include "membercodec.h"

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::membership;

TEST(MemberCodec_Tests, Decode_EncodedProbe_IsEqual)
{
    // [GIVEN] A probe with an update
    const MemberUpdate update { core::HostName("b"), 7, 2, MemberState::Leaving };
    const Probe probe { 42, { 9, "feed" }, { update } };

    // [WHEN] It is encoded and decoded
    const auto decoded = decode(encode(probe));

    // [THEN] All fields keep their values
    ASSERT_TRUE(decoded.has_value());
    const auto &result = std::get<Probe>(*decoded);
    EXPECT_EQ(result.sequence, 42U);
    EXPECT_EQ(result.revision, probe.revision);
    EXPECT_EQ(result.updates, probe.updates);
}

TEST(MemberCodec_Tests, Decode_TruncatedMessage_DoesNotThrow)
{
    // [GIVEN] An encoded message
    const std::vector<std::byte> complete = encode(IndirectProbe { 3, core::HostName("target") });

    // [WHEN] It is truncated to each shorter length
    for (std::size_t size = 0; size < complete.size(); ++size) {
        // [THEN] Decoding neither crashes nor throws
        EXPECT_NO_THROW(decode(std::span(complete).first(size)));
    }
}
