#include "fleetsimulation.h"

#include <functional>

#include <gtest/gtest.h>

using namespace damaskgate::search;

TEST(FleetSimulation_Tests, Run_RandomFaults_KeepsTheBoundAndOneHolder)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const RunResult result = FleetSimulation(makePlan(seed), {}).run();
        EXPECT_FALSE(result.violation) << "seed " << seed << ": " << *result.violation;
    }
}

struct GuardCase
{
    const char *name;
    void (*remove)(Guards &);
    std::uint64_t firstSeed;
};

std::ostream &operator<<(std::ostream &stream, const GuardCase &row)
{
    return stream << row.name;
}

class GuardTests : public testing::TestWithParam<GuardCase>
{};

TEST_P(GuardTests, Run_GuardTakenOut_ViolationIsFound)
{
    // [GIVEN] One safety rule is disabled
    Guards guards;
    GetParam().remove(guards);

    // [WHEN] Fault plans are run from a seed that is known to need the rule
    bool isFound = false;
    for (std::uint64_t seed = GetParam().firstSeed; !isFound && seed < GetParam().firstSeed + 3;
         ++seed) {
        isFound = FleetSimulation(makePlan(seed), guards).run().violation.has_value();
    }

    // [THEN] The rate limit is exceeded or a partition has two holders
    EXPECT_TRUE(isFound);
}

INSTANTIATE_TEST_SUITE_P(
    Guards, GuardTests,
    testing::Values(
        GuardCase { "StartsEmpty", [](Guards &g) { g.limits.startsEmpty = false; }, 1 },
        GuardCase { "DebitsBeforeTelling", [](Guards &g) { g.limits.debitsBeforeTelling = false; },
                    1 },
        GuardCase { "ChecksAtUse", [](Guards &g) { g.lease.checksAtUse = false; }, 5 },
        GuardCase { "NeedsBothRosters", [](Guards &g) { g.lease.needsBothRosters = false; }, 6 },
        GuardCase { "ReservesTokensInUse", [](Guards &g) { g.limits.reservesTokensInUse = false; },
                    11 },
        GuardCase { "WaitsAfterStart", [](Guards &g) { g.lease.waitsAfterStart = false; }, 2 },
        GuardCase { "RateDrift", [](Guards &g) { g.limits.allowsForDrift = false; }, 6 },
        GuardCase { "VoidsLateReplies", [](Guards &g) { g.limits.voidsLateReplies = false; }, 28 }),
    [](const auto &info) { return info.param.name; });
