#include <gtest/gtest.h>

#include "grayfleet.h"

namespace damaskgate::upstreams {

namespace {

constexpr int Seeds = 3;

// Returns the fraction of requests that fail if endpoints are chosen without knowing the outcomes
// of earlier requests.
double blindFailedFraction(const GrayScenario &scenario)
{
    return scenario.faultyFraction * scenario.failureRateWhenFaulty
        + (1 - scenario.faultyFraction) * scenario.failureRateWhenHealthy;
}

double meanFailedFraction(GrayScenario scenario)
{
    double sum = 0;
    for (int seed = 1; seed <= Seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        sum += runGrayScenario(scenario, SelectionPolicy {}).failedFraction();
    }
    return sum / Seeds;
}

} // namespace

// Target: hosts that exchange outcomes fail at most a sixth of the requests of a blind choice.
constexpr double TargetFraction = 1.0 / 6;

TEST(GrayFailures_Tests, Choose_FaultEpisodesUnderLightLoad_FewRequestsFail)
{
    // [GIVEN] At any time three of ten endpoints are in a fault episode of some seconds
    GrayScenario scenario;
    scenario.requestsPerSecond = 30;

    // [WHEN] Requests that are not repeatable use a quarter of the capacity
    const double failed = meanFailedFraction(scenario);

    // [THEN] Faulty endpoints are avoided, and few requests are lost to probes
    EXPECT_LT(failed, blindFailedFraction(scenario) * TargetFraction);
}

TEST(GrayFailures_Tests, Choose_FaultEpisodesUnderTypicalLoad_FewRequestsFail)
{
    // [GIVEN] At any time three of ten endpoints are in a fault episode of some seconds
    GrayScenario scenario;

    // [WHEN] The load is typical
    const double failed = meanFailedFraction(scenario);

    // [THEN] Few requests fail
    EXPECT_LT(failed, blindFailedFraction(scenario) * TargetFraction);
}

TEST(GrayFailures_Tests, Choose_FewSmallEndpoints_FewRequestsFail)
{
    // [GIVEN] Ten endpoints with two slots each
    GrayScenario scenario;
    scenario.endpoints = 10;
    scenario.slots = 2;
    scenario.work = 0.12;
    scenario.requestsPerSecond = 40;

    // [WHEN] Requests use a quarter of the capacity
    const double failed = meanFailedFraction(scenario);

    // [THEN] Few requests fail
    EXPECT_LT(failed, blindFailedFraction(scenario) * TargetFraction);
}

} // namespace damaskgate::upstreams
