#include <functional>
#include <random>
#include <string>

#include <gtest/gtest.h>

#include "damaskgate/health/serviceowner.h"

using namespace damaskgate;
using namespace damaskgate::health;
using namespace std::chrono_literals;

namespace {

const core::ServiceName Bokun("bokun");
constexpr std::size_t HostCount = 12;
constexpr std::size_t DomainCount = 3;
constexpr std::size_t EndpointCount = 6;

core::EndpointName endpointName(std::size_t index)
{
    return core::EndpointName("bokun-" + std::to_string(index));
}

core::HostName hostName(std::size_t index)
{
    return core::HostName("host-" + std::to_string(index));
}

/** Outcome of one exchange of a host with an endpoint. */
struct Exchange
{
    bool isFailed = false;
    core::Duration meanWork = 20ms;
};

using Behaviour = std::function<Exchange(std::size_t host, std::size_t endpoint, bool isUnlucky)>;

struct FaultCase
{
    const char *name;
    Behaviour behaviour;
    std::set<std::size_t> expected;
};

/** Entry hosts that together report 20 exchanges a second with each endpoint to the owner. */
class ReportSimulation
{
public:
    explicit ReportSimulation(std::uint64_t seed) : random(seed)
    {
        settings::Settings tree;
        for (std::size_t i = 0; i < HostCount; ++i) {
            tree.hosts[hostName(i)].domain =
                core::DomainName("domain-" + std::to_string(i % DomainCount));
        }
        settings::Service &service = tree.services[Bokun];
        service.slots = 6;
        for (std::size_t i = 0; i < EndpointCount; ++i) {
            service.endpoints[endpointName(i)].name = endpointName(i);
        }
        this->owner.applySettings(tree);
    }

    /** Simulates @p length of reports. @return indexes of the endpoints ejected or readmitted. */
    std::set<std::size_t> run(core::Duration length, const Behaviour &behaviour)
    {
        std::set<std::size_t> ejected;
        for (core::Duration passed {}; passed < length; passed += ReportInterval) {
            this->now += ReportInterval;
            for (std::size_t host = 0; host < HostCount; ++host) {
                this->owner.onReport(hostName(host), this->makeReport(host, behaviour), this->now);
            }
            for (const auto &change : this->owner.evaluate(this->now)) {
                ejected.insert(std::stoul(change.endpoint.text().substr(6)));
            }
        }
        return ejected;
    }

private:
    EvidenceReport makeReport(std::size_t host, const Behaviour &behaviour)
    {
        EvidenceReport report { Bokun, ++this->sequence, {}, {} };
        std::poisson_distribution<int> count(20 * 0.25 / HostCount);
        std::bernoulli_distribution unlucky(0.3);
        std::exponential_distribution<double> jitter(1);
        for (std::size_t endpoint = 0; endpoint < EndpointCount; ++endpoint) {
            EndpointEvidence evidence;
            evidence.endpoint = endpointName(endpoint);
            for (int i = count(this->random); i > 0; --i) {
                const Exchange exchange = behaviour(host, endpoint, unlucky(this->random));
                const std::chrono::duration<double> work(
                    jitter(this->random)
                    * std::chrono::duration<double>(exchange.meanWork).count());
                const auto latency = std::chrono::duration_cast<core::Duration>(work);
                ++(exchange.isFailed ? evidence.failed : evidence.succeeded);
                ++(latency > this->owner.slowLimit() ? evidence.slow : evidence.fast);
                ++evidence.ended;
                evidence.busyTime += latency;
                report.latencies.push_back({ latencyBucket(latency), 1 });
            }
            report.endpoints.push_back(evidence);
        }
        return report;
    }

    std::mt19937_64 random;
    core::Instant now { 1h };
    std::uint64_t sequence = 0;
    ServiceOwner owner { Bokun, 1, this->now };
};

Exchange healthy(std::size_t /*host*/, std::size_t /*endpoint*/, bool /*isUnlucky*/)
{
    return {};
}

class FaultDetector_Tests : public testing::TestWithParam<FaultCase>
{};

} // namespace

TEST_P(FaultDetector_Tests, Evaluate_Fault_EjectsTheFaultyEndpointsOnly)
{
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        // [GIVEN] A minute without a fault
        ReportSimulation reports(seed);
        EXPECT_TRUE(reports.run(1min, healthy).empty()) << seed;

        // [WHEN] The fault lasts for 4 s
        const auto ejected = reports.run(4s, GetParam().behaviour);

        // [THEN] Just the faulty endpoints are ejected
        EXPECT_EQ(ejected, GetParam().expected) << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(
    All, FaultDetector_Tests,
    testing::Values(
        FaultCase { "None", healthy, {} },
        FaultCase { "Errors",
                    [](auto, auto endpoint, bool isUnlucky) {
                        return Exchange { endpoint == 2 && isUnlucky };
                    },
                    { 2 } },
        FaultCase { "Slow",
                    [](auto, auto endpoint, bool) {
                        return Exchange { false, endpoint == 2 ? 100ms : 20ms };
                    },
                    { 2 } },
        FaultCase { "DomainSlow",
                    [](auto, auto endpoint, bool) {
                        return Exchange { false, endpoint % DomainCount == 0 ? 100ms : 20ms };
                    },
                    { 0, 3 } },
        FaultCase { "AllSlow",
                    [](auto, auto, bool) {
                        return Exchange { false, 100ms };
                    },
                    {} },
        FaultCase { "AllFailing", [](auto, auto, bool) { return Exchange { true }; }, {} },
        FaultCase {
            "OneHostCut", [](auto host, auto, bool) { return Exchange { host == 4 }; }, {} },
        FaultCase {
            "OneHostCutFromOneEndpoint",
            [](auto host, auto endpoint, bool) { return Exchange { host == 4 && endpoint == 2 }; },
            {} },
        FaultCase { "MostFailing",
                    [](auto, auto endpoint, bool) { return Exchange { endpoint < 2 }; },
                    { 0, 1 } }),
    [](const auto &info) { return std::string(info.param.name); });
