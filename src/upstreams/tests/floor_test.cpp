#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "bookfleet.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double FloorShare = 0.7; // of the endpoints that have not failed lately
constexpr seconds Window { 2 };
constexpr seconds NoRest { 0 }; // an endpoint that failed before a window counts in it
constexpr seconds Rest { 2 }; // the same, but it may rest for so long after a failure

std::string nameOf(int index)
{
    return "endpoint-" + std::to_string(index);
}

/** Size of a service, and the load on it. */
struct Load
{
    int hosts = 1;
    int endpoints = 13;
    int badEndpoints = 5;
    milliseconds noteDelay { 0 };
    std::chrono::microseconds gap { 20000 }; //!< between two requests
    bool isRepeatable = false;
};

/** A service whose bad endpoints fail everything, while a quarter of its requests is refused. */
class TroubledService
{
public:
    explicit TroubledService(const Load &load = {}) : load(load), fleet(load.hosts, load.noteDelay)
    {
        this->request.isRepeatable = load.isRepeatable;
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < this->load.endpoints; ++i) {
            RegisteredEndpoint facts;
            facts.endpoint.name = core::EndpointName(nameOf(i));
            if (i < load.badEndpoints) {
                this->badNames.insert(nameOf(i));
            }
            facts.service = this->request.service;
            facts.slots = 6;
            facts.revision = 1;
            list.push_back(facts);
        }
        this->fleet.setEndpoints(this->request.service, 0, list);
    }

    void play(seconds length, bool isRefusing)
    {
        std::bernoulli_distribution refused(0.25);
        std::uniform_int_distribution<std::size_t> pickHost(0, this->fleet.size() - 1);
        for (const core::Instant end = this->now() + length; this->now() < end;
             this->fleet.advance(this->load.gap)) {
            const std::size_t host = pickHost(this->random);
            if (isRefusing && refused(this->random)) {
                this->fleet.refuse(host, this->request.service);
                continue;
            }
            const auto choice = this->fleet.send(host, this->request);
            ASSERT_TRUE(choice);
            const std::string &name = choice->grant.endpoint.name.text();
            const bool isBad = this->badNames.contains(name);
            this->fleet.end(host, *choice,
                            isBad ? balance::Outcome::ServerError : balance::Outcome::Answered);
            this->usedAt[name].push_back(this->now());
            if (isBad) {
                this->failedAt[name].push_back(this->now());
            }
        }
    }

    /**
     * @return the least share in use in any window after @p from, of the endpoints that have not
     *         failed in it or in the time of @p rest before
     */
    double leastShareInUse(core::Instant from, seconds rest) const
    {
        double least = 1;
        for (core::Instant start = from; start + Window <= this->now();
             start += milliseconds(100)) {
            int sound = 0;
            int used = 0;
            for (int i = 0; i < this->load.endpoints; ++i) {
                const std::string name = nameOf(i);
                if (this->isAnyIn(this->failedAt, name, start - rest, start + Window)) {
                    continue;
                }
                ++sound;
                used += this->isAnyIn(this->usedAt, name, start, start + Window) ? 1 : 0;
            }
            least = std::min(least, static_cast<double>(used) / sound);
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
    using Times = std::map<std::string, std::vector<core::Instant>>;

    bool isAnyIn(const Times &times, const std::string &name, core::Instant from,
                 core::Instant until) const
    {
        const auto found = times.find(name);
        return found != times.end()
            && std::ranges::any_of(found->second, [from, until](core::Instant at) {
                   return at >= from && at < until;
               });
    }

    Load load;
    BookFleet fleet;
    std::set<std::string> badNames;
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, {}, {} };
    std::mt19937_64 random { 11 };
    Times usedAt;
    Times failedAt;
};

/** @return the least share in use, without a rest, while a quarter of @p load is refused for long.
 */
double leastShareUnderRefusals(const Load &load)
{
    TroubledService service(load);
    service.play(seconds(4), true);
    const core::Instant from = service.now();
    service.play(seconds(20), true);
    return service.leastShareInUse(from, NoRest);
}

} // namespace

TEST(Floor_Tests, Choose_ManyRequestsUnserved_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A service with suspects, of whose requests a quarter is refused
    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastShareUnderRefusals(Load {}), FloorShare);
}

TEST(Floor_Tests, Choose_ManyHostsHearLate_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A large fleet, whose hosts choose before they hear what the others chose
    Load load;
    load.hosts = 113;
    load.endpoints = 86;
    load.badEndpoints = 26;
    load.noteDelay = milliseconds(100);
    load.gap = std::chrono::microseconds(3600);

    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastShareUnderRefusals(load), FloorShare);
}

TEST(Floor_Tests, Choose_OneRequestASecondForEachEndpoint_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A large fleet with hardly more requests than endpoints in a window
    Load load;
    load.hosts = 102;
    load.endpoints = 116;
    load.badEndpoints = 35;
    load.noteDelay = milliseconds(100);
    load.gap = std::chrono::microseconds(7200);
    load.isRepeatable = true;

    // [THEN] In any window enough of the endpoints are in use
    EXPECT_GE(leastShareUnderRefusals(load), FloorShare);
}

TEST(Floor_Tests, Choose_RepeatableWork_KeepsTheFloorAlsoWhileAllIsServed)
{
    // [GIVEN] Suspects of a service whose requests may be repeated, and nothing refused
    Load load;
    load.isRepeatable = true;
    TroubledService service(load);
    service.play(seconds(4), false);

    // [WHEN] Twenty seconds pass, at whose end all hosts might lose power
    const core::Instant from = service.now();
    service.play(seconds(20), false);

    // [THEN] In any window enough of the endpoints that have not failed lately are in use
    EXPECT_GE(service.leastShareInUse(from, Rest), FloorShare);
}

TEST(Floor_Tests, Choose_NearlyAllServed_SuspectsAreLeftAlone)
{
    // [GIVEN] The same suspects, and nothing refused
    TroubledService service;
    service.play(seconds(4), false);
    const std::size_t before = service.failures();

    // [WHEN] Twenty seconds pass with a thousand requests
    service.play(seconds(20), false);

    // [THEN] At most three in a hundred were spent on them
    EXPECT_LE(service.failures() - before, 30U);
}

} // namespace damaskgate::upstreams
