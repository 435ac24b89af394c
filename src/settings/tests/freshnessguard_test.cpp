#include "damaskgate/settings/freshnessguard.h"

#include <optional>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::settings;
using namespace std::chrono_literals;

namespace {

using Age = std::optional<std::chrono::milliseconds>;

constexpr std::chrono::milliseconds Hours { 7'200'000 };

//! Ages of the last contacts at the moment of use.
struct FreshnessCase
{
    std::string name;
    Age platformAge;
    Age fleetAge;
    std::optional<std::size_t> otherHosts;
    bool isFresh;
};

std::ostream &operator<<(std::ostream &stream, const FreshnessCase &given)
{
    return stream << given.name;
}

const std::vector<FreshnessCase> FreshnessCases {
    { "NoContactYet", std::nullopt, std::nullopt, 3, false },
    { "PlatformOnly", 1s, std::nullopt, 3, true },
    { "PlatformTooOld", 3s, std::nullopt, 3, false },
    { "PlatformGoneForHours", Hours, 1s, 3, true },
    { "PlatformNeverContacted", std::nullopt, 1s, 3, true },
    { "OnlyFleetUnreachable", 2s, Hours, 3, true },
    { "PlatformAndFleetUnreachable", Hours, Hours, 3, false },
    { "FleetOfOneHost", Hours, std::nullopt, 0, true },
    { "UnknownHostCountIsNotZero", std::nullopt, std::nullopt, std::nullopt, false },
    { "ProcessResumedAfterLimit", 10s, 10s, 3, false },
    { "JustBeforeTheLimit", 2999ms, std::nullopt, 3, true },
};

using FreshnessGuard_Table = testing::TestWithParam<FreshnessCase>;

} // namespace

TEST_P(FreshnessGuard_Table, IsFresh_AgesOfContacts_DecidesAtUse)
{
    // [GIVEN] Contacts of the given ages
    const FreshnessCase &given = GetParam();
    const core::Instant now = core::Instant {} + 24h;
    FreshnessGuard guard(3s);
    if (given.otherHosts) {
        guard.setOtherHosts(*given.otherHosts);
    }
    if (given.platformAge) {
        guard.onPlatformAnswered(now - *given.platformAge);
    }
    if (given.fleetAge) {
        guard.onFleetContact(now - *given.fleetAge);
    }

    // [THEN] Keys are relied on only while the last contact is recent enough
    EXPECT_EQ(guard.isFresh(now), given.isFresh);
}

INSTANTIATE_TEST_SUITE_P(Ages, FreshnessGuard_Table, testing::ValuesIn(FreshnessCases),
                         [](const auto &info) { return info.param.name; });

TEST(FreshnessGuard_Tests, OnFleetContact_OlderContactAfterwards_DoesNotShortenFreshness)
{
    // [GIVEN] A contact at the current time
    const core::Instant now = core::Instant {} + 1h;
    FreshnessGuard guard;
    guard.setOtherHosts(3);
    guard.onPlatformAnswered(now);

    // [WHEN] An older contact is recorded afterwards
    guard.onFleetContact(now - 10s);

    // [THEN] The newer contact still counts
    EXPECT_TRUE(guard.isFresh(now + 2s));
}
