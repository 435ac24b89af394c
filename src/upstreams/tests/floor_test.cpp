#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "selectorfleet.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double FloorFraction = 0.7; // of the endpoints without a recent failure
constexpr seconds Window { 2 };

// Time before a window in which a failure excludes an endpoint from the count of the window.
constexpr seconds NoRecoveryTime { 0 };
constexpr seconds RecoveryTime { 2 };

std::string nameOf(int index)
{
    return "endpoint-" + std::to_string(index);
}

/** Size of a service and the load on it. */
struct Load
{
    int hosts = 1;
    int endpoints = 13;
    int faultyEndpoints = 5;
    milliseconds gossipDelay { 0 };
    std::chrono::microseconds gap { 20000 }; //!< time between two requests
    bool isRepeatable = false;
    double refusedFraction = 0.25; //!< of the requests, while hosts refuse
    std::uint64_t seed = 11;
};

/** A service whose faulty endpoints fail all requests and whose hosts can refuse some. */
class FaultyService
{
public:
    explicit FaultyService(const Load &load = {})
        : load(load), fleet(load.hosts, load.gossipDelay), random(load.seed)
    {
        this->request.isRepeatable = load.isRepeatable;
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < this->load.endpoints; ++i) {
            RegisteredEndpoint registration;
            registration.endpoint.name = core::EndpointName(nameOf(i));
            if (i < load.faultyEndpoints) {
                this->faultyNames.insert(nameOf(i));
            }
            registration.service = this->request.service;
            registration.slots = 6;
            registration.revision = 1;
            list.push_back(registration);
        }
        this->fleet.setEndpoints(this->request.service, 0, list);
    }

    void run(seconds length, bool isRefusing)
    {
        std::bernoulli_distribution refused(this->load.refusedFraction);
        std::uniform_int_distribution<std::size_t> pickHost(0, this->fleet.size() - 1);
        for (const core::Instant end = this->now() + length; this->now() < end;
             this->fleet.advance(this->load.gap)) {
            const std::size_t host = pickHost(this->random);
            this->requestedAt.push_back(this->now());
            if (isRefusing && refused(this->random)) {
                this->fleet.refuse(host, this->request.service);
                this->unservedAt.push_back(this->now());
                continue;
            }
            const auto choice = this->fleet.send(host, this->request);
            ASSERT_TRUE(choice);
            const std::string &name = choice->grant.endpoint.name.text();
            const bool isFaulty = this->faultyNames.contains(name);
            this->fleet.end(host, *choice,
                            isFaulty ? balance::Outcome::ServerError : balance::Outcome::Answered);
            this->usedAt[name].push_back(this->now());
            if (isFaulty) {
                this->failedAt[name].push_back(this->now());
                this->unservedAt.push_back(this->now());
            }
        }
    }

    /**
     * @return the least fraction of the endpoints that is used in any window after @p from; does
     *         not count endpoints that fail in the window or within @p recoveryTime before it
     */
    double leastFractionInUse(core::Instant from, seconds recoveryTime) const
    {
        double least = 1;
        for (core::Instant start = from; start + Window <= this->now();
             start += milliseconds(100)) {
            least = std::min(least, this->fractionInUse(start, recoveryTime));
        }
        return least;
    }

    /** @return the same over the windows in which more than a tenth of the requests is unserved. */
    double leastFractionInUseWhileUnserved(core::Instant from, milliseconds step) const
    {
        double least = 1;
        for (core::Instant start = from; start + Window <= this->now(); start += step) {
            if (countIn(this->unservedAt, start) * 10 > countIn(this->requestedAt, start)) {
                least = std::min(least, this->fractionInUse(start, NoRecoveryTime));
            }
        }
        return least;
    }

    std::size_t failures() const
    {
        std::size_t count = 0;
        for (const auto &[name, times] : this->failedAt) {
            count += times.size();
        }
        return count;
    }

    core::Instant now() const
    {
        return this->fleet.now;
    }

private:
    using InstantsByEndpoint = std::map<std::string, std::vector<core::Instant>>;

    static std::ptrdiff_t countIn(const std::vector<core::Instant> &times, core::Instant start)
    {
        return std::ranges::count_if(
            times, [start](core::Instant at) { return at >= start && at < start + Window; });
    }

    double fractionInUse(core::Instant start, seconds recoveryTime) const
    {
        int healthy = 0;
        int used = 0;
        for (int i = 0; i < this->load.endpoints; ++i) {
            const std::string name = nameOf(i);
            if (this->isAnyIn(this->failedAt, name, start - recoveryTime, start + Window)) {
                continue;
            }
            ++healthy;
            used += this->isAnyIn(this->usedAt, name, start, start + Window) ? 1 : 0;
        }
        return static_cast<double>(used) / healthy;
    }

    bool isAnyIn(const InstantsByEndpoint &times, const std::string &name, core::Instant from,
                 core::Instant until) const
    {
        const auto found = times.find(name);
        return found != times.end()
            && std::ranges::any_of(found->second, [from, until](core::Instant at) {
                   return at >= from && at < until;
               });
    }

    Load load;
    SelectorFleet fleet;
    std::set<std::string> faultyNames;
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, {}, {} };
    std::mt19937_64 random;
    InstantsByEndpoint usedAt;
    InstantsByEndpoint failedAt;
    std::vector<core::Instant> requestedAt;
    std::vector<core::Instant> unservedAt;
};

/** @return the least fraction in use while a quarter of @p load is refused for 20 s. */
double leastFractionUnderRefusals(const Load &load)
{
    FaultyService service(load);
    service.run(seconds(4), true);
    const core::Instant from = service.now();
    service.run(seconds(20), true);
    return service.leastFractionInUse(from, NoRecoveryTime);
}

Load loadNearTheFloorRate()
{
    Load load;
    load.hosts = 48;
    load.endpoints = 27;
    load.faultyEndpoints = 9;
    load.gossipDelay = milliseconds(100);
    load.gap = milliseconds(8);
    return load;
}

/** @return the least fraction in use in the windows of a minute that leave over a tenth unserved.
 */
double leastFractionWhileUnserved(const Load &load, milliseconds step)
{
    FaultyService service(load);
    service.run(seconds(4), true);
    const core::Instant from = service.now();
    service.run(seconds(60), true);
    return service.leastFractionInUseWhileUnserved(from, step);
}

} // namespace

TEST(Floor_Tests, Choose_ManyRequestsRefused_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A service with suspected endpoints, and a quarter of its requests refused
    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastFractionUnderRefusals(Load {}), FloorFraction);
}

// The load: about a tenth of the requests is unserved, a little more in some windows than in
// others, and a third of the endpoints is suspected.
TEST(Floor_Tests, Choose_AboutATenthUnserved_KeepsTheFloorWheneverItIsMore)
{
    for (const double refusedFraction : { 0.08, 0.09, 0.1 }) {
        SCOPED_TRACE(refusedFraction);
        Load load = loadNearTheFloorRate();
        load.refusedFraction = refusedFraction;

        // [THEN] In each window with more than a tenth unserved, enough endpoints are in use
        EXPECT_GE(leastFractionWhileUnserved(load, milliseconds(500)), FloorFraction);
    }
}

TEST(Floor_Tests, Choose_AboutATenthUnservedManySeeds_KeepsTheFloorWheneverItIsMore)
{
    for (std::uint64_t seed = 1; seed <= 11; ++seed) {
        for (const double refusedFraction : { 0.08, 0.09, 0.1 }) {
            SCOPED_TRACE(testing::Message() << "seed " << seed << ", refused " << refusedFraction);
            Load load = loadNearTheFloorRate();
            load.refusedFraction = refusedFraction;
            load.seed = seed;

            // [THEN] The same holds for windows that start at any tenth of a second
            EXPECT_GE(leastFractionWhileUnserved(load, milliseconds(100)), FloorFraction);
        }
    }
}

TEST(Floor_Tests, Choose_ManyHostsWithLateGossip_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A large fleet whose hosts choose before they learn what the others chose
    Load load;
    load.hosts = 113;
    load.endpoints = 86;
    load.faultyEndpoints = 26;
    load.gossipDelay = milliseconds(100);
    load.gap = std::chrono::microseconds(3600);

    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastFractionUnderRefusals(load), FloorFraction);
}

TEST(Floor_Tests, Choose_OneRequestASecondForEachEndpoint_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A large fleet with few more requests than endpoints in each window
    Load load;
    load.hosts = 102;
    load.endpoints = 116;
    load.faultyEndpoints = 35;
    load.gossipDelay = milliseconds(100);
    load.gap = std::chrono::microseconds(7200);
    load.isRepeatable = true;

    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastFractionUnderRefusals(load), FloorFraction);
}

TEST(Floor_Tests, Choose_RepeatableWork_KeepsTheFloorAlsoWithoutRefusals)
{
    // [GIVEN] A service with suspected endpoints and repeatable requests, none refused
    Load load;
    load.isRepeatable = true;
    FaultyService service(load);
    service.run(seconds(4), false);

    // [WHEN] 20 s pass; the floor must hold at any time, since all hosts might lose power
    const core::Instant from = service.now();
    service.run(seconds(20), false);

    // [THEN] In any window enough of the endpoints without a recent failure are in use
    EXPECT_GE(service.leastFractionInUse(from, RecoveryTime), FloorFraction);
}

TEST(Floor_Tests, Choose_NearlyAllSucceed_SuspectsAreAvoided)
{
    // [GIVEN] A service with suspected endpoints, and no requests refused
    FaultyService service;
    service.run(seconds(4), false);
    const std::size_t before = service.failures();

    // [WHEN] 20 s pass with 1000 requests
    service.run(seconds(20), false);

    // [THEN] At most 3 % of the requests failed at suspected endpoints
    EXPECT_LE(service.failures() - before, 30U);
}

} // namespace damaskgate::upstreams
