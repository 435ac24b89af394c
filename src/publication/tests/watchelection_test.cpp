#include "damaskgate/publication/watchelection.h"

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
    { "Current", 44, 3, 9 },
    { "Target", 5900, 10, 30 },
};

using WatchElection_Fleets = testing::TestWithParam<FleetCase>;

} // namespace

TEST_P(WatchElection_Fleets, TimingFor_EveryHost_KeepsTotalCallRateBelowLimit)
{
    // [GIVEN] A fleet in which each host knows all others
    const auto live = fleet(GetParam().hosts, GetParam().domains);
    const WatchLimits limits;

    // [WHEN] Each host determines its own timing
    std::size_t watchers = 0;
    double callsPerSecond = 0;
    for (const WatchCandidate &candidate : live) {
        const ReadTiming timing =
            WatchElection(candidate.host, candidate.domain, limits).timingFor(live);
        const bool isWatcher = timing.blockingWait.count() > 0;
        watchers += isWatcher ? 1 : 0;
        const std::chrono::duration<double> period =
            isWatcher ? timing.blockingWait : timing.pollPause;
        constexpr double KeysPerHost = 2;
        callsPerSecond += KeysPerHost / period.count();
    }

    // [THEN] At most three hosts in each domain watch, and the total call rate is within the limit
    EXPECT_EQ(watchers, GetParam().watchers);
    EXPECT_LE(callsPerSecond, limits.maxCallsPerSecond);
}

INSTANTIATE_TEST_SUITE_P(Sizes, WatchElection_Fleets, testing::ValuesIn(FleetCases),
                         [](const auto &info) { return info.param.name; });

TEST(WatchElection_Tests, TimingFor_NobodyElseIsLive_Watches)
{
    const WatchElection election(core::HostName("a"), core::DomainName("north"));
    EXPECT_GT(election.timingFor({}).blockingWait.count(), 0);
}

TEST(WatchElection_Tests, TimingFor_WatchersFail_OthersTakeOver)
{
    // [GIVEN] A domain whose watchers have failed
    auto live = fleet(20, 1);
    const auto isWatcher = [&](const WatchCandidate &candidate) {
        return WatchElection(candidate.host, candidate.domain).timingFor(live).blockingWait.count()
            > 0;
    };
    std::vector<WatchCandidate> survivors;
    std::ranges::copy_if(live, std::back_inserter(survivors),
                         [&](const auto &candidate) { return !isWatcher(candidate); });

    // [WHEN] The remaining hosts determine their timing again
    live = survivors;

    // [THEN] The same number of them watch
    EXPECT_EQ(std::ranges::count_if(live, isWatcher), 3);
}
