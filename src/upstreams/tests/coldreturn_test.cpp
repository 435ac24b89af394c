#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "bookfleet.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Hosts = 113;
constexpr int WarmEndpoints = 59;
constexpr int ColdEndpoints = 27; // those of one failure domain
constexpr seconds Length { 7 }; // of the load; the endpoints stay cold for as long
constexpr double RequestsPerSecond = 420;
constexpr double ColdRate = 6.9;
constexpr double ColdOver = 1.5; // what an endpoint must not get in any second: rate times this
constexpr double ColdSlack = 8; // and this many requests

/** The most requests that one endpoint got within any second. */
std::size_t mostInASecond(const std::vector<core::Instant> &times)
{
    std::size_t most = 0;
    for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= seconds(1)) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

/** Plays load after a failure domain's endpoints have come back cold at once. */
class ColdReturn
{
public:
    explicit ColdReturn(int warmEndpoints) : warm(warmEndpoints)
    {
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < warmEndpoints + ColdEndpoints; ++i) {
            RegisteredEndpoint facts;
            facts.endpoint.name = core::EndpointName("endpoint-" + std::to_string(i));
            facts.service = this->request.service;
            facts.slots = 6;
            facts.revision = 1;
            facts.coldFor = i < warmEndpoints ? seconds(0) : Length;
            list.push_back(facts);
        }
        this->fleet.setEndpoints(this->request.service, ColdRate, list);
        this->play();
    }

    /** @return the most that any cold endpoint got in a second. */
    std::size_t worst() const
    {
        std::size_t most = 0;
        for (const auto &[name, times] : this->sentAt) {
            most = std::max(most, this->isCold(name) ? mostInASecond(times) : 0);
        }
        return most;
    }

    /** @return how many cold endpoints got work. */
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

    void play()
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
    BookFleet fleet { Hosts, milliseconds(100) };
    balance::WorkRequest request { core::ServiceName("booking"), {}, false, {}, {} };
    std::map<core::EndpointName, std::vector<core::Instant>> sentAt;
};

} // namespace

TEST(ColdReturn_Tests, Choose_DomainReturnsCold_EachEndpointGetsWhatItBears)
{
    // [WHEN] The endpoints of a failure domain return cold before many hosts
    const ColdReturn load(WarmEndpoints);

    // [THEN] None gets more than it bears in any second, and all get some
    EXPECT_LE(load.worst(), ColdRate * ColdOver + ColdSlack);
    EXPECT_EQ(load.usedColdEndpoints(), ColdEndpoints);
}

TEST(ColdReturn_Tests, Choose_OnlyColdEndpointsAreLeft_EachEndpointGetsWhatItBears)
{
    // [WHEN] There is nothing else that could serve
    const ColdReturn load(0);

    // [THEN] The bound holds all the same
    EXPECT_LE(load.worst(), ColdRate * ColdOver + ColdSlack);
    EXPECT_EQ(load.usedColdEndpoints(), ColdEndpoints);
}

} // namespace damaskgate::upstreams
