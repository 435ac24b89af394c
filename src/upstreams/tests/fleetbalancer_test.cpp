#include <vector>

#include <gtest/gtest.h>

#include "damaskgate/core/hash.h"
#include "damaskgate/upstreams/fleetbalancer.h"

namespace damaskgate::upstreams {

namespace {

class FakeGossipChannel final : public fleet::IGossipChannel
{
public:
    void publish(fleet::GossipItem item) override
    {
        this->published.push_back(item);
    }

    void addListener(Listener listener) override
    {
        this->listener = std::move(listener);
    }

    std::vector<fleet::GossipItem> published;
    Listener listener;
};

class RecordingSink final : public core::IEventSink
{
public:
    void record(const core::Event &event) override
    {
        this->lines.push_back(core::toLine(event));
    }

    std::vector<std::string> lines;
};

constexpr RetryLimits TightBudget { 0, 0, 1 };

} // namespace

class FleetBalancer_Tests : public testing::Test
{
protected:
    FleetBalancer_Tests()
    {
        RegisteredEndpoint endpoint;
        endpoint.endpoint.name = core::EndpointName("a");
        endpoint.service = core::ServiceName("booking");
        endpoint.revision = 1;
        this->selector.setEndpoints({ &endpoint, 1 }, true, this->clock.now());
        this->request.service = endpoint.service;
        this->request.workspace = core::WorkspaceName("halls");
        this->request.traceId = "t-1";
    }

    balance::SlotGrant acquire()
    {
        balance::SlotGrant granted;
        this->balancer.acquire(this->request, [&granted](core::Result<balance::SlotGrant> grant) {
            granted = grant.value();
        });
        return granted;
    }

    core::ManualClock clock;
    RecordingSink events;
    FakeGossipChannel gossip;
    EndpointSelector selector { SelectionPolicy {}, core::DomainName(), 1 };
    limits::SharedAdmission admission { this->clock };
    FleetRetryBudget retries { this->clock, TightBudget };
    FleetBalancer balancer { { this->clock, this->events, this->gossip, this->selector,
                               this->admission, this->retries } };
    balance::WorkRequest request;
};

TEST_F(FleetBalancer_Tests, Release_Failure_IsPublished)
{
    // [WHEN] A request fails at an endpoint
    const auto grant = this->acquire();
    balance::ExchangeReport report;
    report.outcome = balance::Outcome::ServerError;
    this->balancer.release(grant.id, report);

    // [THEN] Its start with the workspace and its end are published, and its trace id is logged
    ASSERT_EQ(this->gossip.published.size(), 2U);
    EXPECT_EQ(this->gossip.published[0].account, core::nameHash("halls"));
    EXPECT_EQ(this->gossip.published[1].amount,
              static_cast<std::uint16_t>(balance::Outcome::ServerError));
    ASSERT_EQ(this->events.lines.size(), 1U);
    EXPECT_NE(this->events.lines.front().find("trace=t-1"), std::string::npos);
}

TEST_F(FleetBalancer_Tests, OnGossipItem_RetryOfAnotherHost_IsConsumedFromTheBudget)
{
    // [GIVEN] A budget of one retry
    ASSERT_TRUE(this->retries.hasRetry(this->request.service));

    // [WHEN] Another host retries a request
    this->request.isRetry = true;
    this->request.excluded = { core::EndpointName("b") };
    this->acquire();
    fleet::GossipItem item = this->gossip.published.front();
    item.origin = 9;
    this->gossip.listener(item);

    // [THEN] The budget of this host is used up
    EXPECT_FALSE(this->retries.hasRetry(this->request.service));
}

TEST_F(FleetBalancer_Tests, OnGossipItem_RedirectedRequestOfAnotherHost_DoesNotUseTheBudget)
{
    // [WHEN] Another host uses a second endpoint since the first was unreachable
    this->request.excluded = { core::EndpointName("b") };
    this->acquire();
    fleet::GossipItem item = this->gossip.published.front();
    item.origin = 9;
    this->gossip.listener(item);

    // [THEN] The budget is unchanged, and the workspace is not charged a second time
    EXPECT_TRUE(this->retries.hasRetry(this->request.service));
    EXPECT_EQ(item.account, 0U);
}

TEST_F(FleetBalancer_Tests, Release_TimeoutWithinTypicalLatency_IsNoEvidence)
{
    // [GIVEN] A service with a typical latency of 1 s
    this->selector.onLatency(this->request, std::chrono::seconds(1));
    const double before =
        *this->selector.faultProbabilityOf(core::EndpointName("a"), this->clock.now());

    // [WHEN] A request times out after 0.3 s
    const auto grant = this->acquire();
    balance::ExchangeReport report;
    report.outcome = balance::Outcome::Timeout;
    report.latency = std::chrono::milliseconds(300);
    this->balancer.release(grant.id, report);

    // [THEN] The fault probability of the endpoint is unchanged
    EXPECT_DOUBLE_EQ(*this->selector.faultProbabilityOf(core::EndpointName("a"), this->clock.now()),
                     before);
}

TEST_F(FleetBalancer_Tests, Acquire_NoEndpoint_IsRefusedAtOnceAsNotRun)
{
    this->request.service = core::ServiceName("unknown");
    core::Result<balance::SlotGrant> result;
    this->balancer.acquire(this->request, [&result](auto grant) { result = std::move(grant); });
    ASSERT_FALSE(result);
    EXPECT_EQ(result.error().reason, core::Reason::NoEndpoint);
    EXPECT_EQ(result.error().verdict, core::Verdict::NotRun);
}

} // namespace damaskgate::upstreams
