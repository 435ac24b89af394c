#include <gtest/gtest.h>

#include "damaskgate/health/ejectionplanner.h"
#include "damaskgate/health/ejectionview.h"

using namespace damaskgate;
using namespace damaskgate::health;
using namespace std::chrono_literals;

namespace {

const core::EndpointName First("e-0");
const core::EndpointName Second("e-1");

Floor makeFloor(std::size_t endpoints, double fraction, std::size_t outOfService = 0)
{
    settings::Service service;
    service.healthyFloor = fraction;
    for (std::size_t i = 0; i < endpoints; ++i) {
        const core::EndpointName name("e-" + std::to_string(i));
        service.endpoints[name].isInService = i + outOfService < endpoints;
    }
    return { settings::Settings {}, service };
}

EjectionUpdate makeUpdate(std::uint64_t revision, std::uint64_t sequence,
                          const core::EndpointName &name)
{
    return { core::ServiceName("vitrin"), 1, sequence, revision, { name }, DefaultSlowLimit };
}

const core::Instant Start { 1h };

} // namespace

TEST(Floor_Tests, AllowedEjections_ListedAndInService_CountsAgainstAllListed)
{
    EXPECT_EQ(makeFloor(6, 0.5).allowedEjections(), 3U);
    EXPECT_EQ(makeFloor(15, 0.2).allowedEjections(), 12U);
    EXPECT_EQ(makeFloor(13, 0.5).allowedEjections(), 6U);
    EXPECT_EQ(makeFloor(6, 0.5, 2).allowedEjections(), 1U);
    EXPECT_EQ(makeFloor(6, 0.5, 4).allowedEjections(), 0U);
    EXPECT_EQ(makeFloor(6, 1).allowedEjections(), 0U);
}

TEST(EjectionPlanner_Tests, TryEject_NewOwner_WaitsForThePredecessorsUpdates)
{
    // [GIVEN] A host that has just become the owner
    EjectionPlanner planner(Start);
    planner.applyFloor(makeFloor(2, 0.5));

    // [THEN] It ejects only when no update of its predecessor can still be in effect
    EXPECT_FALSE(planner.tryEject(First, Start + EjectionUpdateLifetime));
    EXPECT_TRUE(planner.tryEject(First, Start + EjectionUpdateLifetime + ClockDriftMargin));
}

TEST(EjectionPlanner_Tests, TryEject_ReadmittedButInEffectOnAHost_KeepsTheFloor)
{
    // [GIVEN] An endpoint whose ejection was sent to a host and that is readmitted
    EjectionPlanner planner(Start - 1h);
    planner.applyFloor(makeFloor(2, 0.5));
    ASSERT_TRUE(planner.tryEject(First, Start));
    planner.publish(Start);
    planner.readmit(First);

    // [THEN] Another endpoint is ejected only when the update has expired on every host
    EXPECT_FALSE(planner.tryEject(Second, Start + EjectionUpdateLifetime));
    EXPECT_TRUE(planner.tryEject(Second, Start + EjectionUpdateLifetime + ClockDriftMargin));
}

TEST(EjectionPlanner_Tests, ApplyFloor_DomainTakenOut_ReadmitsTheLatest)
{
    // [GIVEN] Three of six endpoints ejected with a floor of one half
    EjectionPlanner planner(Start - 1h);
    planner.applyFloor(makeFloor(6, 0.5));
    for (const char *name : { "e-1", "e-0", "e-2" }) {
        ASSERT_TRUE(planner.tryEject(core::EndpointName(name), Start));
    }

    // [WHEN] Two others are taken out of service
    planner.applyFloor(makeFloor(6, 0.5, 2));

    // [THEN] Only the endpoint ejected first stays ejected
    EXPECT_TRUE(planner.isEjected(Second));
    EXPECT_FALSE(planner.isEjected(First));
}

TEST(EjectionView_Tests, Ejected_ExpiredUpdate_IsEmpty)
{
    // [GIVEN] An update that replies to a report
    EjectionView view;
    view.applyFloor(makeFloor(2, 0.5));
    view.onReportSent(1, Start);
    view.onUpdate(makeUpdate(1, 1, First), Start + 100ms);

    // [THEN] It is in effect until EjectionUpdateLifetime after the report was sent
    EXPECT_EQ(view.ejected(Start + EjectionUpdateLifetime - 1ms), std::set { First });
    EXPECT_TRUE(view.ejected(Start + EjectionUpdateLifetime).empty());
}

TEST(EjectionView_Tests, OnNews_OlderReportOrRevision_IsIgnored)
{
    // [GIVEN] The second update that replies to the second report
    EjectionView view;
    view.applyFloor(makeFloor(2, 0.5));
    view.onReportSent(1, Start);
    view.onReportSent(2, Start + 10ms);
    view.onReportSent(3, Start + 20ms);
    view.onUpdate(makeUpdate(2, 2, First), Start + 30ms);

    // [WHEN] Updates arrive: the first to that report, one to an older and one to an unknown report
    view.onUpdate(makeUpdate(1, 2, Second), Start + 40ms);
    view.onUpdate(makeUpdate(2, 1, Second), Start + 40ms);
    view.onUpdate(makeUpdate(2, 9, Second), Start + 40ms);

    // [THEN] None of them is applied
    EXPECT_EQ(view.ejected(Start + 50ms), std::set { First });
}

TEST(EjectionView_Tests, Ejected_OwnSettingsAllowLess_KeepsTheFloorOfThisHost)
{
    // [GIVEN] An update that ejects two endpoints, and settings of this host that allow one
    EjectionView view;
    view.applyFloor(makeFloor(3, 0.5));
    view.onReportSent(1, Start);
    view.onUpdate({ core::ServiceName("vitrin"), 1, 1, 1, { Second, First }, DefaultSlowLimit },
                  Start);

    // [THEN] The first one in the update is ejected
    EXPECT_EQ(view.ejected(Start + 1ms), std::set { Second });
}
