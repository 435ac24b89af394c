#include <gtest/gtest.h>

#include "grayfleet.h"

namespace damaskgate::upstreams {

namespace {

constexpr int Seeds = 3;

// What a choice that knows nothing of the spells would fail.
double blindShare(const GrayScenario &scenario)
{
    return scenario.badShare * scenario.failuresWhenBad
        + (1 - scenario.badShare) * scenario.failuresWhenSound;
}

double meanFailedShare(GrayScenario scenario)
{
    double sum = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        sum += playGrayScenario(scenario, SelectionPolicy {}).failedShare();
    }
    return sum / Seeds;
}

} // namespace

// Target: hosts that share what they see fail at most a sixth of what a blind choice fails.
constexpr double TargetPart = 1.0 / 6;

TEST(GraySpells_Tests, Choose_BadSpellsUnderLightLoad_FewRequestsFail)
{
    // [GIVEN] Three in ten endpoints fail most requests for some seconds, all the time
    GrayScenario scenario;
    scenario.requestsPerSecond = 30;

    // [WHEN] Work that may not be repeated comes at a quarter of the capacity
    const double failed = meanFailedShare(scenario);

    // [THEN] It avoids bad spells, and suspects are not tried again for nothing
    EXPECT_LT(failed, blindShare(scenario) * TargetPart);
}

TEST(GraySpells_Tests, Choose_BadSpellsUnderUsualLoad_FewRequestsFail)
{
    // [GIVEN] The same spells
    GrayScenario scenario;

    // [WHEN] The usual load comes
    const double failed = meanFailedShare(scenario);

    // [THEN] Few requests fail
    EXPECT_LT(failed, blindShare(scenario) * TargetPart);
}

TEST(GraySpells_Tests, Choose_FewSmallEndpoints_FewRequestsFail)
{
    // [GIVEN] Ten endpoints with two slots each
    GrayScenario scenario;
    scenario.endpoints = 10;
    scenario.slots = 2;
    scenario.work = 0.12;
    scenario.requestsPerSecond = 40;

    // [WHEN] A quarter of the capacity is asked for
    const double failed = meanFailedShare(scenario);

    // [THEN] Few requests fail
    EXPECT_LT(failed, blindShare(scenario) * TargetPart);
}

} // namespace damaskgate::upstreams
