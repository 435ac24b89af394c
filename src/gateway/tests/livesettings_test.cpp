#include <gtest/gtest.h>

#include "livesettings.h"

namespace damaskgate::gateway {

namespace {

settings::Settings numbered(std::uint64_t number)
{
    settings::Settings settings;
    settings.revision.number = number;
    return settings;
}

} // namespace

TEST(LiveSettings_Tests, Replace_OlderOrEqual_NeverGoesBack)
{
    // [GIVEN] Revision 7 in force
    LiveSettings live;
    int told = 0;
    live.addListener([&told](const settings::SettingsPtr & /*settings*/) { ++told; });
    EXPECT_EQ(live.current(), nullptr);
    ASSERT_TRUE(live.replace(numbered(7)));

    // [WHEN] Older ones and the same come from other hosts
    EXPECT_FALSE(live.replace(numbered(6)));
    EXPECT_FALSE(live.replace(numbered(7)));

    // [THEN] It stays in force, and nobody is told again
    EXPECT_EQ(live.current()->revision.number, 7U);
    EXPECT_EQ(told, 1);
    EXPECT_TRUE(live.replace(numbered(12)));
    EXPECT_EQ(told, 2);
}

} // namespace damaskgate::gateway
