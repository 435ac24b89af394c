#include <algorithm>
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/upstreams/endpointbook.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Endpoints = 13;
constexpr int BadEndpoints = 5;
constexpr double FloorShare = 0.7; // of the endpoints that have not failed lately
constexpr seconds Window { 2 };
constexpr seconds SoundAfter { 2 }; // an endpoint that failed counts again from then on

std::string nameOf(int index)
{
    return "endpoint-" + std::to_string(index);
}

/** A service whose bad endpoints fail everything, while a quarter of its requests is refused. */
class TroubledService
{
public:
    TroubledService()
    {
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < Endpoints; ++i) {
            RegisteredEndpoint facts;
            facts.endpoint.name = core::EndpointName(nameOf(i));
            facts.service = this->request.service;
            facts.slots = 6;
            facts.revision = 1;
            list.push_back(facts);
        }
        this->book.setEndpoints(list, true, this->now);
    }

    void play(seconds length, bool isRefusing)
    {
        std::bernoulli_distribution refused(0.25);
        for (const core::Instant end = this->now + length; this->now < end;
             this->now += milliseconds(20)) {
            if (isRefusing && refused(this->random)) {
                this->book.onUnserved(this->request.service, this->now);
                continue;
            }
            const auto choice = this->book.choose(this->request, this->now);
            ASSERT_TRUE(choice);
            const std::string name = choice->grant.endpoint.name.text();
            const bool isBad = name < nameOf(BadEndpoints) && name.size() == nameOf(0).size();
            const std::uint32_t tag = core::tagOf(name);
            this->book.onStarted(tag, 0, this->now);
            this->book.onEnded(tag, 0,
                               isBad ? balance::Outcome::ServerError : balance::Outcome::Answered,
                               this->now);
            this->usedAt[name].push_back(this->now);
            if (isBad) {
                this->failedAt[name].push_back(this->now);
            }
        }
    }

    /** @return the least share of sound endpoints in use in any window after the first seconds. */
    double leastShareInUse(core::Instant from) const
    {
        double least = 1;
        for (core::Instant start = from; start + Window <= this->now; start += milliseconds(100)) {
            int sound = 0;
            int used = 0;
            for (int i = 0; i < Endpoints; ++i) {
                const std::string name = nameOf(i);
                if (this->isAnyIn(this->failedAt, name, start - SoundAfter, start + Window)) {
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

    core::Instant now { std::chrono::hours(1) };

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

    EndpointBook book { ChoiceModel {}, core::DomainName(), 5 };
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, {}, {} };
    std::mt19937_64 random { 11 };
    Times usedAt;
    Times failedAt;
};

} // namespace

TEST(Floor_Tests, Choose_ManyRequestsUnserved_KeepsTheFloorOfEndpointsInUse)
{
    // [GIVEN] A service with suspects, of whose requests a quarter is refused
    TroubledService service;
    service.play(seconds(4), true);

    // [WHEN] That lasts
    const core::Instant from = service.now;
    service.play(seconds(20), true);

    // [THEN] In any window enough of the endpoints that have not failed lately are in use
    EXPECT_GE(service.leastShareInUse(from), FloorShare);
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
