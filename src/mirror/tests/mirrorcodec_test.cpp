#include <gtest/gtest.h>

#include "mirrorcodec.h"

namespace damaskgate::mirror {

namespace {

std::optional<BaseValue> noBase(const Item & /*item*/)
{
    return std::nullopt;
}

std::optional<std::string_view> noValue(std::string_view /*key*/, std::uint64_t /*revision*/)
{
    return std::nullopt;
}

} // namespace

TEST(MirrorCodec_Tests, Decode_EncodedChanges_AreEqual)
{
    // [GIVEN] Changes with a value that is not valid text
    const Changes changes {
        12, true, { { "op/a", std::string("\0\xff{}", 4), 11, 7 } }, { { "b", 9 } }
    };

    // [WHEN] They are encoded and decoded
    const auto decoded = decode(encode(changes, noBase), noValue);

    // [THEN] They are unchanged
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, changes);
}

// Guards against a large change that is sent whole to hosts that hold most of it.
TEST(MirrorCodec_Tests, Encode_ReceiverHoldsTheFormerValue_SendsTheDifference)
{
    // [GIVEN] A large value that changes in one place
    std::string former;
    for (int i = 0; i < 2000; ++i) {
        former += std::to_string(i * 7919) + ",";
    }
    std::string value = former;
    value.replace(value.size() / 2, 5, "other");
    const Changes changes { 12, false, { { "op/config", value, 12 } }, {} };

    // [WHEN] It is sent to a host that holds the former value
    const std::string bytes = encode(changes, [&former](const Item &) {
        return BaseValue { 5, former };
    });
    const auto decoded = decode(bytes, [&former](std::string_view key, std::uint64_t revision) {
        return key == "op/config" && revision == 5 ? std::optional<std::string_view>(former)
                                                   : std::nullopt;
    });

    // [THEN] It is restored from a message that is much smaller than the value
    ASSERT_TRUE(decoded);
    EXPECT_EQ(*decoded, changes);
    EXPECT_LT(bytes.size(), value.size() / 50);

    // [THEN] A host without the former value refuses the message
    EXPECT_FALSE(decode(bytes, noValue));
}

TEST(MirrorCodec_Tests, Decode_Garbage_IsRefused)
{
    const auto decoded = decode("\x01\x02 no message", noValue);
    ASSERT_FALSE(decoded);
    EXPECT_EQ(decoded.error().reason, core::Reason::BadRequest);
}

} // namespace damaskgate::mirror
