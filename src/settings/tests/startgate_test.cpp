#include "damaskgate/settings/startgate.h"

#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::settings;
using namespace std::chrono_literals;

namespace {

struct StartCase
{
    std::string name;
    std::optional<Revision> accepted;
    std::optional<Revision> peerRevision;
    bool hasFleetContact;
    std::chrono::seconds waited;
    bool mayServe;
};

std::ostream &operator<<(std::ostream &stream, const StartCase &given)
{
    return stream << given.name;
}

const Revision Old { 4, "aa" };
const Revision New { 5, "aa" };

const std::vector<StartCase> StartCases {
    { "NothingKnown", std::nullopt, std::nullopt, false, 1s, false },
    { "NothingKnownAfterTheWait", std::nullopt, std::nullopt, true, 11s, false },
    { "PeersKnowNoHigher", New, New, true, 1s, true },
    { "StalePlatformPeerIsHigher", Old, New, true, 1s, false },
    { "PeersSilent", New, std::nullopt, false, 1s, false },
    { "PeersSilentAfterTheWait", New, std::nullopt, false, 10s, true },
    { "HigherCannotBeFetchedAfterTheWait", Old, New, true, 10s, true },
    { "WholeFleetStartsTogether", New, std::nullopt, true, 1s, true },
};

using StartGate_Table = testing::TestWithParam<StartCase>;

} // namespace

TEST_P(StartGate_Table, MayServe_RevisionsKnownAtStart_DecidesWithBoundedWait)
{
    const StartCase &given = GetParam();
    const core::Instant startedAt = core::Instant {} + 1h;
    StartGate gate(startedAt, 10s);
    if (given.accepted) {
        gate.onAccepted(*given.accepted);
    }
    if (given.peerRevision) {
        gate.onPeerRevision(*given.peerRevision);
    }
    if (given.hasFleetContact) {
        gate.onFleetContact();
    }
    EXPECT_EQ(gate.mayServe(startedAt + given.waited), given.mayServe);
}

INSTANTIATE_TEST_SUITE_P(Starts, StartGate_Table, testing::ValuesIn(StartCases),
                         [](const auto &info) { return info.param.name; });

TEST(StartGate_Tests, MayServe_HigherPeerRevisionLater_StaysOpen)
{
    // [GIVEN] A host that already serves
    const core::Instant startedAt = core::Instant {} + 1h;
    StartGate gate(startedAt);
    gate.onAccepted(Old);
    gate.onFleetContact();
    ASSERT_TRUE(gate.mayServe(startedAt));

    // [WHEN] Another host reports a higher revision
    gate.onPeerRevision(New);

    // [THEN] The host continues to serve while it fetches that revision
    EXPECT_TRUE(gate.mayServe(startedAt));
}
