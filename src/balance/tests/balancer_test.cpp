#include "damaskgate/balance/balancer.h"

#include <algorithm>
#include <memory>

#include <gtest/gtest.h>

using namespace damaskgate;
using namespace damaskgate::balance;
using namespace std::chrono_literals;

namespace {

const core::ServiceName Stundaskra("stundaskra");

class Balancer_Tests : public testing::Test
{
protected:
    Balancer_Tests()
    {
        this->settings.domains[core::DomainName("vesturbaer")].name =
            core::DomainName("vesturbaer");
        settings::Service &service = this->settings.services[Stundaskra];
        service.name = Stundaskra;
        service.slots = 2;
        service.queueLimit = 4;
        this->addEndpoint("s-1");
        this->addEndpoint("s-2");
        this->apply();
    }

    settings::Endpoint &addEndpoint(const char *name)
    {
        settings::Endpoint &endpoint =
            this->settings.services[Stundaskra].endpoints[core::EndpointName(name)];
        endpoint.name = core::EndpointName(name);
        endpoint.domain = core::DomainName("vesturbaer");
        return endpoint;
    }

    void apply()
    {
        this->balancer.applySettings(std::make_shared<settings::Settings>(this->settings));
    }

    std::uint64_t acquire(const char *workspace, core::Duration timeout = 10s)
    {
        WorkRequest request;
        request.service = Stundaskra;
        request.workspace = core::WorkspaceName(workspace);
        request.deadline = this->clock.now() + timeout;
        return this->acquire(request);
    }

    std::uint64_t acquire(const WorkRequest &request)
    {
        return this->balancer.acquire(request, [this, request](core::Result<SlotGrant> result) {
            if (result) {
                this->grants.push_back(*result);
                this->servedWorkspaces.push_back(request.workspace.text());
                return;
            }
            EXPECT_EQ(result.error().verdict, core::Verdict::NotRun);
            this->refusals.push_back(result.error().reason);
        });
    }

    void releaseFirst()
    {
        const std::uint64_t id = this->grants.front().id;
        this->grants.erase(this->grants.begin());
        this->balancer.release(id, { Outcome::Answered, 10ms, {} });
    }

    core::ManualClock clock;
    Balancer balancer { this->clock, 1 };
    settings::Settings settings;
    std::vector<SlotGrant> grants;
    std::vector<std::string> servedWorkspaces;
    std::vector<core::Reason> refusals;
};

} // namespace

TEST_F(Balancer_Tests, Acquire_MoreThanSlots_NeverExceedsSlotsOfAnEndpoint)
{
    // [WHEN] More requests arrive than the two endpoints have slots
    for (int i = 0; i < 6; ++i) {
        this->acquire("a");
    }

    // [THEN] Each endpoint has exactly its slots in flight, the other requests are queued
    EXPECT_EQ(this->balancer.inFlight(Stundaskra, core::EndpointName("s-1")), 2U);
    EXPECT_EQ(this->balancer.inFlight(Stundaskra, core::EndpointName("s-2")), 2U);
    EXPECT_EQ(this->balancer.queued(Stundaskra), 2U);
}

TEST_F(Balancer_Tests, ApplySettings_DomainOutOfService_GetsNoNewWorkAtOnce)
{
    // [GIVEN] A second failure domain, and the first taken out of service while requests are queued
    this->addEndpoint("s-3").domain = core::DomainName("breidholt");
    this->apply();
    for (int i = 0; i < 7; ++i) {
        this->acquire("a");
    }
    this->grants.clear();
    this->settings.domains[core::DomainName("vesturbaer")].isInService = false;

    // [WHEN] The settings are applied and a slot of the domain in service is free
    this->apply();
    this->acquire("a");

    // [THEN] Nothing was granted in the domain out of service
    EXPECT_TRUE(std::ranges::none_of(this->grants, [](const SlotGrant &grant) {
        return grant.endpoint.domain == core::DomainName("vesturbaer");
    }));
}

TEST_F(Balancer_Tests, SetEjected_AllEndpoints_RefusesWaitingRequests)
{
    // [GIVEN] A queued request
    for (int i = 0; i < 5; ++i) {
        this->acquire("a");
    }

    // [WHEN] All endpoints are ejected
    this->balancer.setEjected(Stundaskra, { core::EndpointName("s-1"), core::EndpointName("s-2") });

    // [THEN] The queued request and a new one are refused with verdict NotRun
    this->acquire("a");
    EXPECT_EQ(this->refusals, (std::vector { core::Reason::NoEndpoint, core::Reason::NoEndpoint }));
}

TEST_F(Balancer_Tests, Tick_DeadlinePassed_RefusesWaitingRequest)
{
    // [GIVEN] All slots held and one queued request with a deadline in 100 ms
    for (int i = 0; i < 4; ++i) {
        this->acquire("a");
    }
    EXPECT_NE(this->acquire("a", 100ms), 0U);

    // [WHEN] The deadline has passed
    this->clock.advance(100ms);
    this->balancer.tick();

    // [THEN] The request is refused
    EXPECT_EQ(this->refusals, std::vector { core::Reason::DeadlineTooShort });
    EXPECT_EQ(this->balancer.queued(Stundaskra), 0U);
}

TEST_F(Balancer_Tests, Acquire_WaitExceedsDeadline_IsRefusedAtOnce)
{
    // [GIVEN] Exchanges that hold a slot for 200 ms, and a queue
    for (int i = 0; i < 4; ++i) {
        this->acquire("a");
    }
    this->clock.advance(200ms);
    for (int i = 0; i < 4; ++i) {
        this->acquire("a");
    }
    this->releaseFirst();

    // [WHEN] Another workspace sends a request with too short and one with a sufficient deadline
    this->acquire("b", 20ms);
    this->acquire("b", 1s);

    // [THEN] Only the first is refused
    EXPECT_EQ(this->refusals, std::vector { core::Reason::DeadlineTooShort });
}

TEST_F(Balancer_Tests, Acquire_QueueFull_DropsNewestOfTheWorkspaceWithMost)
{
    // [GIVEN] A queue filled by one workspace
    for (int i = 0; i < 8; ++i) {
        this->acquire("greedy");
    }

    // [WHEN] Another workspace and the same one send one more request each
    EXPECT_NE(this->acquire("modest"), 0U);
    EXPECT_EQ(this->acquire("greedy"), 0U);

    // [THEN] The other workspace is served with the second free slot at the latest
    this->releaseFirst();
    this->releaseFirst();
    EXPECT_EQ(this->refusals, (std::vector { core::Reason::QueueFull, core::Reason::QueueFull }));
    EXPECT_EQ(std::ranges::count(this->servedWorkspaces, "modest"), 1);
}

TEST_F(Balancer_Tests, Acquire_DeferrableRequests_AreServedLast)
{
    // [GIVEN] A deferrable request queued before a request that is not deferrable
    for (int i = 0; i < 4; ++i) {
        this->acquire("a");
    }
    WorkRequest deferrable;
    deferrable.service = Stundaskra;
    deferrable.workspace = core::WorkspaceName("later");
    deferrable.isDeferrable = true;
    deferrable.deadline = this->clock.now() + 10s;
    this->acquire(deferrable);
    this->acquire("b");

    // [WHEN] Slots become free
    this->releaseFirst();
    this->releaseFirst();

    // [THEN] The request that is not deferrable is served first
    EXPECT_EQ(this->servedWorkspaces,
              (std::vector<std::string> { "a", "a", "a", "a", "b", "later" }));
}

TEST_F(Balancer_Tests, Cancel_WaitingRequest_NeverCallsDone)
{
    // [GIVEN] A queued request that is cancelled
    for (int i = 0; i < 4; ++i) {
        this->acquire("a");
    }
    this->balancer.cancel(this->acquire("b"));

    // [WHEN] A slot becomes free
    this->releaseFirst();

    // [THEN] The slot is not granted
    EXPECT_EQ(this->grants.size(), 3U);
    EXPECT_TRUE(this->refusals.empty());
}

TEST_F(Balancer_Tests, Acquire_EndpointGaveNoResponse_PrefersOthersForAWhile)
{
    // [GIVEN] An exchange that timed out
    this->acquire("a");
    const core::EndpointName failed = this->grants.front().endpoint.name;
    this->balancer.release(this->grants.front().id, { Outcome::Timeout, {}, {} });
    this->grants.clear();

    // [WHEN] Requests fill the other endpoint and one more arrives
    this->acquire("a");
    this->acquire("a");
    EXPECT_EQ(this->balancer.inFlight(Stundaskra, failed), 0U);
    this->acquire("a");

    // [THEN] The last request is sent to the endpoint that failed and is not queued
    EXPECT_EQ(this->balancer.inFlight(Stundaskra, failed), 1U);
}

TEST_F(Balancer_Tests, Release_OneWorkspaceSendsTenTimesItsShare_OthersGetTheirShare)
{
    // [GIVEN] Workspaces of weight 1 and 3 that always have queued requests, and one of weight 1
    // that sends ten times its share
    this->settings.services[Stundaskra].queueLimit = 40;
    this->settings.workspaces[core::WorkspaceName("large")].weight = 3;
    this->apply();
    for (int i = 0; i < 4; ++i) {
        this->acquire("first");
    }
    this->servedWorkspaces.clear();

    // [WHEN] 500 slots become free one after the other
    for (int i = 0; i < 500; ++i) {
        for (int k = 0; k < 10; ++k) {
            this->acquire("greedy");
        }
        this->acquire("small");
        this->acquire("large");
        this->acquire("large");
        this->acquire("large");
        this->clock.advance(5ms);
        this->releaseFirst();
    }

    // [THEN] The numbers of served requests are in proportion to the weights
    const auto served = [this](const char *name) {
        return std::ranges::count(this->servedWorkspaces, name);
    };
    EXPECT_NEAR(served("small"), 100, 2);
    EXPECT_NEAR(served("large"), 300, 2);
    EXPECT_NEAR(served("greedy"), 100, 2);
}
