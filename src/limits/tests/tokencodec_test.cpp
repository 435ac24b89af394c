#include "tokencodec.h"

#include <array>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::limits;
using namespace std::chrono_literals;

TEST(TokenCodec_Tests, DecodeMessages_ManyMessages_FitAndComeBack)
{
    // [GIVEN] Twenty messages with a long workspace name
    const core::WorkspaceName workspace(std::string(64, 'w'));
    std::vector<TokenMessage> messages(20, TokenRequest { 7, 50ms, workspace });
    messages.back() = TokenHandover { 3, 4, workspace, 2.5 };

    // [WHEN] They are encoded and decoded
    std::vector<TokenMessage> decoded;
    for (const auto &payload : encodeMessages(messages)) {
        EXPECT_LE(payload.size(), 1200U);
        const auto part = decodeMessages(payload);
        ASSERT_TRUE(part);
        decoded.insert(decoded.end(), part->begin(), part->end());
    }

    // [THEN] All messages are decoded in their order
    ASSERT_EQ(decoded.size(), messages.size());
    EXPECT_EQ(std::get<TokenRequest>(decoded[0]).workspace, workspace);
    EXPECT_EQ(std::get<TokenHandover>(decoded[19]).tokens, 2.5);
}

TEST(TokenCodec_Tests, DecodeMessages_Garbage_IsRefused)
{
    const std::array<std::byte, 5> garbage { std::byte { 0x33 }, std::byte { 0xff },
                                             std::byte { 0x12 }, std::byte { 0xff },
                                             std::byte { 0x01 } };
    EXPECT_FALSE(decodeMessages(garbage));
}
