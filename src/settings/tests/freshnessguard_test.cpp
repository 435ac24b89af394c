#include "damaskgate/settings/freshnessguard.h"

#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::settings;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds Long { 3'600'000 };

//! Ages of the last news, seen at the moment of use.
struct FreshnessCase
{
    std::string name;
    std::optional<std::chrono::milliseconds> platformAge;
    std::vector<std::optional<std::chrono::milliseconds>> peerAges;
    bool isFresh;
};

std::ostream &operator<<(std::ostream &stream, const FreshnessCase &given)
{
    return stream << given.name;
}

const std::vector<FreshnessCase> FreshnessCases {
    { "NothingHeardYet", std::nullopt, { std::nullopt, std::nullopt }, false },
    { "PlatformOnly", 1s, { std::nullopt, std::nullopt }, true },
    { "PlatformTooOld", 3s, { std::nullopt, std::nullopt }, false },
    { "PlatformGoneForHours", Long, { 1s, 1s, 1s, 1s }, true },
    { "PlatformNeverHeard", std::nullopt, { 1s, 1s, 1s, 1s }, true },
    { "HalfOfThePeers", Long, { 1s, 1s, Long, Long }, true },
    { "LessThanHalf", Long, { 1s, Long, Long, Long }, false },
    { "HalfOfAnOddNumberIsRoundedUp", Long, { 1s, 1s, Long, Long, Long }, false },
    { "CutFromPeersOnly", 2s, { Long, Long, Long }, true },
    { "CutFromAll", Long, { Long, Long, Long }, false },
    { "OneSilentPeerOfOne", Long, { Long }, false },
    { "FleetOfOneHost", std::nullopt, {}, true },
    { "FrozenAndWokenLate", 10s, { 10s, 10s, 10s }, false },
    { "JustBeforeTheLimit", 2999ms, { std::nullopt }, true },
};

class FreshnessGuard_Table : public testing::TestWithParam<FreshnessCase>
{};

std::vector<core::HostName> peerNames(std::size_t count)
{
    std::vector<core::HostName> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.emplace_back("peer-" + std::to_string(i));
    }
    return names;
}

} // namespace

TEST_P(FreshnessGuard_Table, IsFresh_AgesOfNews_DecidesAtUse)
{
    // [GIVEN] News of the given ages
    const FreshnessCase &given = GetParam();
    const core::Instant now = core::Instant {} + 24h;
    const auto peers = peerNames(given.peerAges.size());
    FreshnessGuard guard(3s);
    guard.setSampledPeers(peers);
    for (std::size_t i = 0; i < peers.size(); ++i) {
        if (given.peerAges[i]) {
            guard.onPeerHeard(peers[i], now - *given.peerAges[i]);
        }
    }
    if (given.platformAge) {
        guard.onPlatformAnswered(now - *given.platformAge);
    }

    // [THEN] Keys are relied on only while they are recent enough
    EXPECT_EQ(guard.isFresh(now), given.isFresh);
}

INSTANTIATE_TEST_SUITE_P(Ages, FreshnessGuard_Table, testing::ValuesIn(FreshnessCases),
                         [](const auto &info) { return info.param.name; });

TEST(FreshnessGuard_Tests, IsFresh_SampleUnknown_IsNotTakenForAFleetOfOne)
{
    const FreshnessGuard guard;
    EXPECT_FALSE(guard.isFresh(core::Instant {} + 1h));
}

TEST(FreshnessGuard_Tests, OnPeerHeard_OutsideTheSample_IsIgnored)
{
    // [GIVEN] A sample of one silent peer
    const core::Instant now = core::Instant {} + 1h;
    FreshnessGuard guard;
    guard.setSampledPeers(peerNames(1));

    // [WHEN] Another host is heard
    guard.onPeerHeard(core::HostName("stranger"), now);

    // [THEN] It does not count
    EXPECT_FALSE(guard.isFresh(now));
}

TEST(FreshnessGuard_Tests, OnPeerHeard_LateRecord_DoesNotMoveBack)
{
    // [GIVEN] A peer heard now
    const core::Instant now = core::Instant {} + 1h;
    FreshnessGuard guard;
    guard.setSampledPeers(peerNames(1));
    guard.onPeerHeard(peerNames(1).front(), now);

    // [WHEN] An older message is recorded afterwards
    guard.onPeerHeard(peerNames(1).front(), now - 10s);

    // [THEN] The newer one still counts
    EXPECT_TRUE(guard.isFresh(now));
}
