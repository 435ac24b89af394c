#include "damaskgate/publication/watchduty.h"

#include <algorithm>
#include <iterator>
#include <ostream>
#include <string>
#include <vector>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::publication;

namespace {

std::vector<WatchCandidate> fleet(std::size_t hosts, std::size_t domains)
{
    std::vector<WatchCandidate> candidates;
    for (std::size_t i = 0; i < hosts; ++i) {
        candidates.push_back({ core::HostName("host-" + std::to_string(i)),
                               core::DomainName("domain-" + std::to_string(i % domains)) });
    }
    return candidates;
}

struct FleetCase
{
    std::string name;
    std::size_t hosts;
    std::size_t domains;
    std::size_t watchers;
};

std::ostream &operator<<(std::ostream &stream, const FleetCase &given)
{
    return stream << given.name;
}

const std::vector<FleetCase> FleetCases {
    { "OneHost", 1, 1, 1 },
    { "Demo", 4, 3, 4 },
    { "OfToday", 44, 3, 9 },
    { "Target", 5900, 10, 30 },
};

using WatchDuty_Fleets = testing::TestWithParam<FleetCase>;

} // namespace

TEST_P(WatchDuty_Fleets, PaceFor_WholeFleet_KeepsTheCallsOfAllBelowTheLimit)
{
    // [GIVEN] A fleet that knows all its hosts
    const auto live = fleet(GetParam().hosts, GetParam().domains);
    const WatchLimits limits;

    // [WHEN] Each host decides for itself
    std::size_t watchers = 0;
    double callsPerSecond = 0;
    for (const WatchCandidate &candidate : live) {
        const ReadPace pace = WatchDuty(candidate.host, candidate.domain, limits).paceFor(live);
        const bool isWatcher = pace.watch.count() > 0;
        watchers += isWatcher ? 1 : 0;
        const std::chrono::duration<double> period = isWatcher ? pace.watch : pace.pause;
        constexpr double KeysFollowed = 2;
        callsPerSecond += KeysFollowed / period.count();
    }

    // [THEN] A few in each domain watch, and all together stay within the limit
    EXPECT_EQ(watchers, GetParam().watchers);
    EXPECT_LE(callsPerSecond, limits.callsPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, WatchDuty_Fleets, testing::ValuesIn(FleetCases),
                         [](const auto &info) { return info.param.name; });

TEST(WatchDuty_Tests, PaceFor_NobodyElseIsLive_Watches)
{
    const WatchDuty duty(core::HostName("a"), core::DomainName("north"));
    EXPECT_GT(duty.paceFor({}).watch.count(), 0);
}

TEST(WatchDuty_Tests, PaceFor_WatchersDie_OthersTakeOver)
{
    // [GIVEN] A domain whose watchers have died
    auto live = fleet(20, 1);
    const auto isWatcher = [&](const WatchCandidate &candidate) {
        return WatchDuty(candidate.host, candidate.domain).paceFor(live).watch.count() > 0;
    };
    std::vector<WatchCandidate> survivors;
    std::ranges::copy_if(live, std::back_inserter(survivors),
                         [&](const auto &candidate) { return !isWatcher(candidate); });

    // [WHEN] The survivors decide anew
    live = survivors;

    // [THEN] As many of them watch
    EXPECT_EQ(std::ranges::count_if(live, isWatcher), 3);
}
