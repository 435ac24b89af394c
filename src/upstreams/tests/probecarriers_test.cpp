#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::upstreams {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int Hosts = 12;
constexpr int Endpoints = 21;
constexpr int FaultyEndpoints = 6; // at any time, in turn
constexpr double FailureRateWhenFaulty = 0.85;
constexpr double FailureRateWhenHealthy = 0.012;
constexpr seconds FaultTime { 9 };
constexpr milliseconds Work { 410 };
constexpr milliseconds ResetTime { 2 };
constexpr milliseconds GossipDelay { 60 };
constexpr milliseconds Gap { 10 }; // between two requests
constexpr seconds Length { 120 };
constexpr int MaxAttempts = 2;

std::string nameOf(int index)
{
    return "endpoint-" + std::to_string(index);
}

/** Failed attempts, by what they met. */
struct Failures
{
    int requests = 0;
    int unserved = 0; //!< requests whose last attempt failed
    int atSuspected = 0; //!< attempts that failed as probes
};

/** Orders, and reads that are sent to a second endpoint, at endpoints that reset in turn. */
class MixedLoad
{
public:
    explicit MixedLoad(double readFraction) : readFraction(readFraction)
    {
        std::vector<RegisteredEndpoint> list;
        for (int i = 0; i < Endpoints; ++i) {
            RegisteredEndpoint registration;
            registration.endpoint.name = core::EndpointName(nameOf(i));
            registration.service = this->service;
            registration.slots = 6;
            registration.revision = 1;
            list.push_back(registration);
        }
        for (int i = 0; i < Hosts; ++i) {
            this->selectors.push_back(std::make_unique<EndpointSelector>(
                SelectionPolicy {}, core::DomainName(), static_cast<std::uint64_t>(i) + 1));
            this->selectors.back()->setEndpoints(list, true, this->now);
        }
        this->run();
    }

    Failures orders;
    Failures reads;

private:
    using Update = std::function<void(EndpointSelector &, std::uint32_t)>;

    struct Step
    {
        core::Instant due;
        std::function<void()> act;
    };

    void run()
    {
        std::uniform_int_distribution<std::size_t> pickHost(0, Hosts - 1);
        for (const core::Instant end = this->now + Length; this->now < end; this->now += Gap) {
            this->runDueSteps();
            const bool isRead = std::bernoulli_distribution(this->readFraction)(this->random);
            ++this->failuresOf(isRead).requests;
            this->send(pickHost(this->random), isRead, {});
        }
    }

    void runDueSteps()
    {
        // Steps are few at a time, and their delays differ, so they are not kept in order.
        for (std::size_t i = 0; i < this->steps.size();) {
            if (this->steps[i].due > this->now) {
                ++i;
                continue;
            }
            const Step step = std::move(this->steps[i]);
            this->steps.erase(this->steps.begin() + static_cast<std::ptrdiff_t>(i));
            step.act();
        }
    }

    void send(std::size_t host, bool isRead, std::vector<core::EndpointName> excluded)
    {
        balance::WorkRequest request;
        request.service = this->service;
        request.isRepeatable = isRead;
        request.excluded = std::move(excluded);
        const auto choice = this->selectors[host]->choose(request, this->now);
        ASSERT_TRUE(choice);
        const std::uint32_t endpointHash = choice->nameHash;
        this->broadcast(host, [this, endpointHash](EndpointSelector &selector, std::uint32_t from) {
            selector.onStarted(endpointHash, from, this->now);
        });
        const bool hasFailed = this->fails(choice->grant.endpoint.name);
        this->steps.push_back({ this->now + (hasFailed ? ResetTime : Work),
                                [this, host, request, choice = *choice, hasFailed] {
                                    this->end(host, request, choice, hasFailed);
                                } });
    }

    void end(std::size_t host, const balance::WorkRequest &request, const Choice &choice,
             bool hasFailed)
    {
        const bool isRead = request.isRepeatable;
        const bool isRetried = hasFailed && isRead && request.excluded.size() + 1 < MaxAttempts;
        const auto outcome = hasFailed ? balance::Outcome::BrokenOff : balance::Outcome::Answered;
        const bool isFailureCounted = !choice.isProbe && !isRetried;
        this->broadcast(host,
                        [this, endpointHash = choice.nameHash, outcome,
                         isFailureCounted](EndpointSelector &selector, std::uint32_t from) {
                            selector.onEnded(endpointHash, from, outcome, this->now,
                                             isFailureCounted);
                        });
        Failures &failures = this->failuresOf(isRead);
        failures.atSuspected += hasFailed && choice.isProbe ? 1 : 0;
        failures.unserved += hasFailed && !isRetried ? 1 : 0;
        if (isRetried) {
            auto excluded = request.excluded;
            excluded.push_back(choice.grant.endpoint.name);
            this->send(host, isRead, excluded);
        }
    }

    // The faulty endpoints are neighbours; each FaultTime the next ones fail.
    bool fails(const core::EndpointName &name)
    {
        const auto period = static_cast<int>((this->now - core::Instant {}) / FaultTime);
        const int first = period * FaultyEndpoints % Endpoints;
        const int index = std::stoi(name.text().substr(nameOf(0).size() - 1));
        const bool isFaulty = (index - first + Endpoints) % Endpoints < FaultyEndpoints;
        return std::bernoulli_distribution(isFaulty ? FailureRateWhenFaulty
                                                    : FailureRateWhenHealthy)(this->random);
    }

    void broadcast(std::size_t host, const Update &update)
    {
        update(*this->selectors[host], 0);
        this->steps.push_back({ this->now + GossipDelay, [this, host, update] {
                                   for (std::size_t other = 0; other < Hosts; ++other) {
                                       if (other != host) {
                                           update(*this->selectors[other],
                                                  static_cast<std::uint32_t>(host + 1));
                                       }
                                   }
                               } });
    }

    Failures &failuresOf(bool isRead)
    {
        return isRead ? this->reads : this->orders;
    }

    double readFraction;
    core::ServiceName service { "cutsheet" };
    core::Instant now { std::chrono::hours(1) };
    std::mt19937_64 random { 5 };
    std::vector<std::unique_ptr<EndpointSelector>> selectors;
    std::deque<Step> steps;
};

} // namespace

TEST(ProbeCarriers_Tests, Choose_ReadsBesideOrders_ReadsFindOutWhatHasRecovered)
{
    // [GIVEN] Orders and half as many reads, while 30 % of the endpoints reset 85 % in turn
    const MixedLoad load(1.0 / 3);

    // [THEN] At most a tenth of the attempts that fail as probes are orders
    EXPECT_LE(load.orders.atSuspected * 10, load.orders.atSuspected + load.reads.atSuspected);
}

TEST(ProbeCarriers_Tests, Choose_ReadsBesideOrders_FewOrdersAreLost)
{
    // [GIVEN] The same load, and orders alone
    const MixedLoad mixed(1.0 / 3);
    const MixedLoad ordersAlone(0);

    // [THEN] In both, at most a sixth of the orders that a blind choice would lose are lost
    constexpr double Blind = (FaultyEndpoints * FailureRateWhenFaulty
                              + (Endpoints - FaultyEndpoints) * FailureRateWhenHealthy)
        / Endpoints;
    for (const Failures &orders : { mixed.orders, ordersAlone.orders }) {
        EXPECT_LE(orders.unserved, Blind / 6 * orders.requests);
    }
}

} // namespace damaskgate::upstreams
