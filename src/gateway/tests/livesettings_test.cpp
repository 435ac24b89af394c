#include <gtest/gtest.h>

#include "livesettings.h"

namespace damaskgate::gateway {

namespace {

settings::Settings settingsWithNumber(std::uint64_t number)
{
    settings::Settings settings;
    settings.revision.number = number;
    return settings;
}

} // namespace

TEST(LiveSettings_Tests, Replace_OlderOrEqual_NeverGoesBack)
{
    // [GIVEN] Revision 7 in force
    LiveSettings liveSettings;
    int notifications = 0;
    liveSettings.addListener(
        [&notifications](const settings::SettingsPtr & /*settings*/) { ++notifications; });
    EXPECT_EQ(liveSettings.current(), nullptr);
    ASSERT_TRUE(liveSettings.replace(settingsWithNumber(7)));

    // [WHEN] Other hosts send an older revision and the same one
    EXPECT_FALSE(liveSettings.replace(settingsWithNumber(6)));
    EXPECT_FALSE(liveSettings.replace(settingsWithNumber(7)));

    // [THEN] Revision 7 stays in force, and listeners are notified of later revisions only
    EXPECT_EQ(liveSettings.current()->revision.number, 7U);
    EXPECT_EQ(notifications, 1);
    EXPECT_TRUE(liveSettings.replace(settingsWithNumber(12)));
    EXPECT_EQ(notifications, 2);
}

} // namespace damaskgate::gateway
