#include <gtest/gtest.h>

#include "mirrorcodec.h"

namespace damaskgate::mirror {

TEST(MirrorCodec_Tests, Decode_EncodedChanges_AreEqual)
{
    // [GIVEN] Changes with a value that is not valid text
    const Changes changes {
        12, true, { { "op/a", std::string("\0\xff{}", 4), 11 } }, { { "b", 9 } }
    };

    // [WHEN] They are encoded and decoded
    const auto decoded = decode(encode(changes));

    // [THEN] They are unchanged
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, changes);
}

TEST(MirrorCodec_Tests, Decode_Garbage_IsRefused)
{
    const auto decoded = decode("\x01\x02 no message");
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().reason, core::Reason::BadRequest);
}

} // namespace damaskgate::mirror
