#include <string>

#include <gtest/gtest.h>

#include "valuecompression.h"

namespace damaskgate::mirror {

namespace {

constexpr std::size_t LargeBytes = 600000;

std::string largeValue(unsigned seed)
{
    std::string value;
    while (value.size() < LargeBytes) {
        seed = seed * 1664525U + 1013904223U;
        value += "{\"name\":\"r-" + std::to_string(seed) + "\",\"kind\":\"safe\"},";
    }
    return value;
}

} // namespace

TEST(ValueCompression_Tests, Decompress_AnyBase_RestoresTheValue)
{
    const std::string value = largeValue(1);
    const std::string edited = "first" + value + "last";
    for (const std::string &base : { std::string(), value, edited, largeValue(2) }) {
        const std::string frame = compress(edited, base);
        ASSERT_FALSE(frame.empty());
        const auto restored = decompress(frame, edited.size(), base);
        ASSERT_TRUE(restored) << restored.error().detail;
        EXPECT_EQ(*restored, edited);
    }
    EXPECT_LT(compress(edited, value).size(), 1000U);
    EXPECT_LT(compress(edited, {}).size(), edited.size() / 2);
}

TEST(ValueCompression_Tests, Decompress_DamagedOrOtherBase_IsRefused)
{
    const std::string value = largeValue(1);
    const std::string edited = value + "last";
    const std::string frame = compress(edited, value);
    EXPECT_FALSE(decompress(frame, edited.size(), largeValue(2)));
    EXPECT_FALSE(decompress(frame, edited.size(), {}));
    EXPECT_FALSE(decompress(frame, edited.size() + 1, value));
    EXPECT_FALSE(decompress(frame, edited.size() - 1, value));
    EXPECT_FALSE(decompress(frame.substr(0, frame.size() / 2), edited.size(), value));
    EXPECT_FALSE(decompress("no frame", edited.size(), value));
}

} // namespace damaskgate::mirror
