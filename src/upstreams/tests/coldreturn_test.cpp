#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "selectorfleet.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Hosts = 113;
constexpr int WarmEndpoints = 59;
constexpr int ColdEndpoints = 27; // the endpoints of one failure domain
constexpr seconds Length { 7 }; // duration of the load; also the cold time of the cold endpoints
constexpr double RequestsPerSecond = 420;
constexpr double ColdRate = 6.9;

// Requests that a cold endpoint may get in any second: ColdRate * ColdRateFactor + ColdSlack.
constexpr double ColdRateFactor = 1.5;
constexpr double ColdSlack = 8;

/** @return the largest number of @p times within any second. */
std::size_t maxInASecond(const std::vector<core::Instant> &times)
{
    std::size_t maxCount = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= seconds(1)) {
            ++first;
        }
        maxCount = std::max(maxCount, last - first + 1);
    }
    return maxCount;
}

/** Runs load after all endpoints of a failure domain have returned cold at the same time. */
class ColdReturn
{
public:
    explicit ColdReturn(int warmEndpoints) : warm(warmEndpoints)
    {
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < warmEndpoints + ColdEndpoints; ++i) {
            RegisteredEndpoint registration;
            registration.endpoint.name = core::EndpointName("endpoint-" + std::to_string(i));
            registration.service = this->request.service;
            registration.slots = 6;
            registration.revision = 1;
            registration.coldFor = i < warmEndpoints ? seconds(0) : Length;
            list.push_back(registration);
        }
        this->fleet.setEndpoints(this->request.service, ColdRate, list);
        this->run();
    }

    /** @return the largest number of requests that any cold endpoint got in a second. */
    std::size_t maxColdRequestsPerSecond() const
    {
        std::size_t maxColdRequests = 0;
        for (const auto &[name, times] : this->sentAt) {
            maxColdRequests =
                std::max(maxColdRequests, this->isCold(name) ? maxInASecond(times) : 0);
        }
        return maxColdRequests;
    }

    /** @return the number of cold endpoints that got requests. */
    std::size_t usedColdEndpoints() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            this->sentAt, [this](const auto &item) { return this->isCold(item.first); }));
    }

private:
    struct Running
    {
        core::Instant until;
        std::size_t host = 0;
        Choice choice;
    };

    bool isCold(const core::EndpointName &name) const
    {
        return std::stoi(name.text().substr(std::string("endpoint-").size())) >= this->warm;
    }

    void run()
    {
        std::mt19937_64 random(7);
        std::uniform_int_distribution<std::size_t> pickHost(0, this->fleet.size() - 1);
        std::exponential_distribution<double> gap(RequestsPerSecond);
        std::vector<Running> running;
        for (const core::Instant end = this->fleet.now + Length; this->fleet.now < end;) {
            this->fleet.advance(std::chrono::duration_cast<core::Duration>(
                std::chrono::duration<double>(gap(random))));
            std::erase_if(running, [this](const Running &one) {
                if (one.until > this->fleet.now) {
                    return false;
                }
                this->fleet.end(one.host, one.choice, balance::Outcome::Answered);
                return true;
            });
            const std::size_t host = pickHost(random);
            if (const auto choice = this->fleet.send(host, this->request)) {
                this->sentAt[choice->grant.endpoint.name].push_back(this->fleet.now);
                running.push_back({ this->fleet.now + milliseconds(360), host, *choice });
            }
        }
    }

    int warm;
    SelectorFleet fleet { Hosts, milliseconds(100) };
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, {}, {} };
    std::map<core::EndpointName, std::vector<core::Instant>> sentAt;
};

} // namespace

TEST(ColdReturn_Tests, Choose_DomainReturnsCold_EachEndpointStaysWithinItsRate)
{
    // [WHEN] The endpoints of a failure domain return cold to a fleet of many hosts
    const ColdReturn load(WarmEndpoints);

    // [THEN] No cold endpoint exceeds its limit in any second, and each gets requests
    EXPECT_LE(load.maxColdRequestsPerSecond(), ColdRate * ColdRateFactor + ColdSlack);
    EXPECT_EQ(load.usedColdEndpoints(), ColdEndpoints);
}

TEST(ColdReturn_Tests, Choose_OnlyColdEndpointsAreLeft_EachEndpointStaysWithinItsRate)
{
    // [WHEN] All endpoints of the service are cold
    const ColdReturn load(0);

    // [THEN] No cold endpoint exceeds its limit in any second, and each gets requests
    EXPECT_LE(load.maxColdRequestsPerSecond(), ColdRate * ColdRateFactor + ColdSlack);
    EXPECT_EQ(load.usedColdEndpoints(), ColdEndpoints);
}

} // namespace damaskgate::upstreams
