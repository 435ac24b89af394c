#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view OtherResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
constexpr std::string_view ErrorResponse =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad";
constexpr std::string_view ShedResponse =
    "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr milliseconds LateThreshold { 50 };
constexpr milliseconds LongAfterIt { 250 };

/** Callers' and endpoints' ends of a request that is in progress at two endpoints. */
struct TwoInProgress
{
    RawPeer caller;
    RawPeer former;
    RawPeer latter;
};

} // namespace

class LateResponseFixture : public EntryFixture
{
protected:
    LateResponseFixture()
    {
        this->balancer.lateThreshold = LateThreshold;
        this->servingGate = &this->gate;
        this->retryBudget = &this->budget;
    }

    static RawPeer receive(RawEndpoint &endpoint)
    {
        RawPeer upstream = endpoint.accept();
        upstream.readRequestHead();
        return upstream;
    }

    /** Sends a request that is late at the first endpoint and waits until the second has it too. */
    TwoInProgress sendToBoth()
    {
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer former = receive(this->first);
        RawPeer latter = receive(this->second);
        return { std::move(caller), std::move(former), std::move(latter) };
    }

    /** Expects that @p former still has the request, and that its response is forwarded. */
    void expectIsWaitedFor(RawPeer &caller, RawPeer &former)
    {
        std::this_thread::sleep_for(LongAfterIt);
        former.send(OkResponse);
        EXPECT_EQ(caller.readResponse().body, "ok");
    }

    bool hasReports(std::size_t count)
    {
        return this->eventually([this, count] { return this->balancer.reports.size() == count; });
    }

    void changeRead(const std::function<void(settings::Route &)> &change)
    {
        auto settings = makeSettings();
        change(settings->routes.at(core::RouteName("read")));
        this->store.replace(settings);
    }

    FakeServingGate gate;
    FakeRetryBudget budget;
};

using LateResponse_Tests = LateResponseFixture;

// Guards against a request that is broken off at an endpoint at work, since a retry was left when
// it was sent.
TEST_F(LateResponse_Tests, Forward_RetryBudgetUsedUpMeanwhile_IsWaitedFor)
{
    // [GIVEN] A request at an endpoint
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] Other requests use the retries up before the response is late
    this->call([this] { this->budget.available = 0; });

    // [THEN] The endpoint's response is forwarded and counts as an answer
    this->expectIsWaitedFor(caller, former);
    EXPECT_FALSE(this->second.hasPending());
    ASSERT_TRUE(this->hasReports(1));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Answered);
}

// Guards against a second attempt without a retry of the budget, and against a slot that is kept.
TEST_F(LateResponse_Tests, Forward_RetryTakenAfterTheGrant_SlotIsReleasedUnsent)
{
    // [GIVEN] A budget whose retries are taken by others between the check and the use
    this->budget.isTakenByOthers = true;
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] The response is late
    ASSERT_TRUE(this->eventually([this] { return !this->balancer.reports.empty(); }));

    // [THEN] The slot at the other endpoint is released without evidence and nothing is sent there
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Cancelled);
    this->expectIsWaitedFor(caller, former);
    EXPECT_FALSE(this->second.hasPending());
}

// Guards against the end of a request by the failure of its second attempt.
TEST_F(LateResponse_Tests, Forward_SecondEndpointFails_FirstIsWaitedFor)
{
    this->start();
    for (const std::string_view failure : { std::string_view {}, ErrorResponse, ShedResponse }) {
        SCOPED_TRACE(failure);
        // [GIVEN] A request in progress at two endpoints
        auto [caller, former, latter] = this->sendToBoth();

        // [WHEN] The second one fails
        latter.send(failure);
        latter.close();

        // [THEN] The response of the first is forwarded
        this->expectIsWaitedFor(caller, former);
        former.close();
    }
}

// Guards against the same if the second endpoint can't be reached.
TEST_F(LateResponse_Tests, Forward_SecondEndpointUnreachable_FirstIsWaitedFor)
{
    // [GIVEN] A second endpoint that is down
    this->second.close();
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [THEN] The response of the first is forwarded, and the second does not count as an attempt
    this->expectIsWaitedFor(caller, former);
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::ConnectFailed);
    EXPECT_EQ(this->balancer.reports[1].outcome, Outcome::Answered);
}

// Guards against the end of a request by the failure of its first attempt.
TEST_F(LateResponse_Tests, Forward_FirstFailsWhileSecondIsAtWork_SecondIsWaitedFor)
{
    // [GIVEN] A request in progress at two endpoints, and no retry left
    this->budget.available = 1;
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] The first one breaks off
    former.close();

    // [THEN] The response of the second is forwarded
    std::this_thread::sleep_for(LongAfterIt);
    latter.send(OtherResponse);
    EXPECT_EQ(caller.readResponse().body, "other");
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::BrokenOff);
    EXPECT_TRUE(this->balancer.reports[0].isRetried);
}

// Guards against a late response that is refused for one that does not exist yet.
TEST_F(LateResponse_Tests, Forward_FirstRespondsBeforeSecond_FirstIsForwardedAndSecondReset)
{
    // [GIVEN] A request in progress at two endpoints, the second of which is not late yet
    this->balancer.lateThreshold = milliseconds(500);
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] The first one responds
    std::this_thread::sleep_for(LongAfterIt);
    former.send(OkResponse);

    // [THEN] Its response is forwarded, and the second attempt ends without evidence
    EXPECT_EQ(caller.readResponse().body, "ok");
    EXPECT_TRUE(latter.isResetByPeer());
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Cancelled);
    EXPECT_EQ(this->balancer.reports[1].outcome, Outcome::Answered);
    ASSERT_TRUE(this->eventually([this] { return this->observer.records.size() == 1; }));
    const RequestRecord record = this->call([this] { return this->observer.records[0]; });
    EXPECT_EQ(record.attempts, 2);
    EXPECT_EQ(record.abandonedAttempts, 1);

    // [THEN] The time of both counts once
    EXPECT_GE(record.upstream, milliseconds(500));
    EXPECT_LE(record.upstream, record.total);
}

// Guards against two responses to one request.
TEST_F(LateResponse_Tests, Forward_BothRespond_ExactlyOneIsForwarded)
{
    // [GIVEN] A request in progress at two endpoints
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] Both respond at the same time
    this->call([&former, &latter] {
        former.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n11");
        latter.send("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\n22");
    });

    // [THEN] One response arrives, and the next one on the connection is that of the next request
    const std::string body = caller.readResponse().body;
    EXPECT_TRUE(body == "11" || body == "22") << body;
    caller.send(request("GET /read/2"));
    RawPeer next = receive(this->first);
    next.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
    EXPECT_TRUE(this->eventually([this] { return this->balancer.heldGrants.empty(); }));
}

// Guards against a server error that is withheld though no other endpoint can respond any more.
TEST_F(LateResponse_Tests, Forward_BothReturnServerErrors_OneIsForwarded)
{
    // [GIVEN] A request in progress at all the endpoints that it may be sent to
    this->changeRead([](settings::Route &read) { read.maxAttempts = 2; });
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] Both return a server error, and the rest of the first one is outstanding
    former.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n");
    latter.send(ErrorResponse);
    former.send("bad");

    // [THEN] An endpoint's error is forwarded, not one of this host
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 500);
    EXPECT_EQ(response.body, "bad");
}

// Guards against attempts that go on after the end of their request.
TEST_F(LateResponse_Tests, Forward_DeadlineWhileTwoAreInProgress_BothAreReset)
{
    // [GIVEN] A request in progress at two endpoints
    this->changeRead([](settings::Route &read) { read.timeout = milliseconds(600); });
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [THEN] At the deadline there is one refusal, and both connections and slots are given up
    EXPECT_EQ(caller.readResponse().status(), 504);
    EXPECT_TRUE(former.isResetByPeer());
    EXPECT_TRUE(latter.isResetByPeer());
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_TRUE(this->call([this] { return this->balancer.heldGrants.empty(); }));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Timeout);
    EXPECT_FALSE(this->balancer.reports[0].isRetried);
    EXPECT_EQ(this->observer.records.size(), 1);
}

// Guards against the same if the caller leaves.
TEST_F(LateResponse_Tests, Forward_CallerLeavesWhileTwoAreInProgress_BothAreReset)
{
    // [GIVEN] A request in progress at two endpoints
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] The caller leaves
    caller.close();

    // [THEN] Both connections and slots are given up, without evidence against the endpoints
    EXPECT_TRUE(former.isResetByPeer());
    EXPECT_TRUE(latter.isResetByPeer());
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Cancelled);
    EXPECT_EQ(this->balancer.reports[1].outcome, Outcome::Cancelled);
}

// Guards against the same if the host stops.
TEST_F(LateResponse_Tests, Forward_StopWhileTwoAreInProgress_BothAreReset)
{
    this->start();
    auto [caller, former, latter] = this->sendToBoth();
    this->call([this] { this->server->stop(); });
    EXPECT_TRUE(former.isResetByPeer());
    EXPECT_TRUE(latter.isResetByPeer());
    EXPECT_TRUE(caller.isClosedByPeer());
}

// Guards against a winner that is not given up with its request.
TEST_F(LateResponse_Tests, Forward_CallerLeavesWhileTheWinnerIsForwarded_WinnerIsReset)
{
    // [GIVEN] A request whose second attempt has won and has sent a part of its response
    this->start();
    auto [caller, former, latter] = this->sendToBoth();
    latter.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    EXPECT_EQ(caller.readResponseHead().status(), 200);
    EXPECT_TRUE(former.isResetByPeer());

    // [WHEN] The caller leaves
    caller.close();

    // [THEN] The second connection is reset as well
    EXPECT_TRUE(latter.isResetByPeer());
    EXPECT_TRUE(this->hasReports(2));
}

// Guards against a request that is sent to another endpoint by settings that no longer hold.
TEST_F(LateResponse_Tests, Forward_SettingsChangedMeanwhile_NoSecondAttempt)
{
    const core::RouteName read("read");
    const std::function<void(settings::Settings &)> changes[] {
        [](auto &next) { next.workspaces.clear(); },
        [](auto &next) { next.routes.clear(); },
        [read](auto &next) { next.routes[read].service = core::ServiceName("other"); },
        [read](auto &next) { next.routes[read].isRepeatable = false; },
        [read](auto &next) { next.routes[read].maxAttempts = 1; },
    };
    this->start();
    for (const auto &change : changes) {
        // [GIVEN] A request at an endpoint
        this->call([this] { this->store.replace(makeSettings()); });
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer former = receive(this->first);

        // [WHEN] The settings say something else of it before the response is late
        auto next = makeSettings();
        change(*next);
        this->call([this, next] { this->store.replace(next); });

        // [THEN] The first endpoint is waited for, and the second is not asked
        this->expectIsWaitedFor(caller, former);
        EXPECT_FALSE(this->second.hasPending());
        former.close();
    }
}

// Guards against a request that is broken off, since this host's data is old.
TEST_F(LateResponse_Tests, Forward_ServingGateClosedMeanwhile_NoSecondAttempt)
{
    // [GIVEN] A request at an endpoint
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] The host may no longer serve before the response is late
    this->call([this] { this->gate.isOpen = false; });

    // [THEN] The first endpoint is waited for, and the second is not asked
    this->expectIsWaitedFor(caller, former);
    EXPECT_FALSE(this->second.hasPending());
}

// Guards against more attempts than the route allows.
TEST_F(LateResponse_Tests, Forward_MaxAttempts_AreNotExceeded)
{
    RawEndpoint third;
    settings::Endpoint last = this->balancer.endpoints.back();
    last.name = core::EndpointName("bokun-3");
    last.port = third.port();
    this->balancer.endpoints.push_back(last);
    this->changeRead([](settings::Route &read) { read.maxAttempts = 1; });
    this->start();
    {
        // [GIVEN] A route with one attempt, and a late response
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer former = receive(this->first);

        // [THEN] There is no second attempt
        this->expectIsWaitedFor(caller, former);
        EXPECT_FALSE(this->second.hasPending());
    }

    // [GIVEN] The route has two attempts, and the second one is shed
    this->call([this] { this->changeRead([](settings::Route &read) { read.maxAttempts = 2; }); });
    auto [caller, former, latter] = this->sendToBoth();
    latter.send(ShedResponse);

    // [THEN] There is no third attempt
    this->expectIsWaitedFor(caller, former);
    EXPECT_FALSE(third.hasPending());
}

// Guards against more than two attempts in progress, and against a request without a third attempt
// after the second one failed.
TEST_F(LateResponse_Tests, Forward_ThreeEndpoints_ThirdIsAskedOnlyAfterTheSecondFailed)
{
    // [GIVEN] A request in progress at two of three endpoints
    RawEndpoint third;
    settings::Endpoint last = this->balancer.endpoints.back();
    last.name = core::EndpointName("bokun-3");
    last.port = third.port();
    this->balancer.endpoints.push_back(last);
    this->start();
    auto [caller, former, latter] = this->sendToBoth();
    std::this_thread::sleep_for(LongAfterIt);
    EXPECT_FALSE(third.hasPending());

    // [WHEN] The second one sheds the request
    latter.send(ShedResponse);

    // [THEN] The third one gets it, and its response is forwarded
    RawPeer healthy = receive(third);
    healthy.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
    EXPECT_TRUE(former.isResetByPeer());
}

// Guards against a second endpoint that gets a part of a body only.
TEST_F(LateResponse_Tests, Forward_BodyIsStreamed_NoSecondAttempt)
{
    // [GIVEN] A safe request whose body is outstanding
    this->changeRead([](settings::Route &read) { read.isRepeatableByAnyMethod = true; });
    this->start();
    constexpr std::size_t Size = 200000;
    RawPeer caller = this->sendNew("PUT /read/1", "Content-Length: 200001\r\n");
    caller.send(std::string(Size, 'x'));
    RawPeer former = receive(this->first);

    // [WHEN] The response is late
    std::this_thread::sleep_for(LongAfterIt);

    // [THEN] The first endpoint gets the rest, and the second is not asked
    EXPECT_FALSE(this->second.hasPending());
    caller.send("y");
    EXPECT_TRUE(former.readUntil("y"));
    former.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
}

// Guards against a second request that waits in the queue of the balancer.
TEST_F(LateResponse_Tests, Forward_BalancerQueuesTheSecondRequest_ItIsCancelled)
{
    // [GIVEN] A request at an endpoint
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] No other endpoint has a free slot when the response is late
    this->call([this] { this->balancer.isQueueing = true; });

    // [THEN] The first endpoint is waited for
    this->expectIsWaitedFor(caller, former);

    // [THEN] The balancer was told that the request is in progress, and its place is given up
    this->call([this] {
        ASSERT_GE(this->balancer.requests.size(), 2);
        const balance::WorkRequest &added = this->balancer.requests[1];
        EXPECT_TRUE(added.isSpeculative);
        EXPECT_TRUE(added.isRetry);
        EXPECT_EQ(added.excluded, std::vector { core::EndpointName("bokun-1") });
        EXPECT_FALSE(this->balancer.requests[0].isSpeculative);
        EXPECT_EQ(this->balancer.cancelled, this->balancer.requests.size() - 1);
        EXPECT_TRUE(this->balancer.queued.empty());
    });
}

// Guards against the loss of an endpoint's response: the error is discarded for the response of
// another endpoint that is never sent.
TEST_F(LateResponse_Tests, Forward_FirstReturnsErrorThenSecondBreaksOff_ErrorIsForwarded)
{
    // [GIVEN] A request in progress at two endpoints, and no retry left
    this->budget.available = 1;
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] The first one returns a server error and the second one breaks off
    former.send(ErrorResponse);
    std::this_thread::sleep_for(LongAfterIt);
    latter.close();

    // [THEN] The endpoint's error is forwarded, not one of this host
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 500);
    EXPECT_EQ(response.body, "bad");
}

// Guards against the same if the second endpoint does not respond before the deadline.
TEST_F(LateResponse_Tests, Forward_FirstReturnsErrorThenSecondIsSilent_ErrorIsForwarded)
{
    // [GIVEN] A request in progress at two endpoints, and no retry left
    this->budget.available = 1;
    this->changeRead([](settings::Route &read) { read.timeout = milliseconds(800); });
    this->start();
    auto [caller, former, latter] = this->sendToBoth();

    // [WHEN] The first one returns a server error and the second one stays silent
    former.send(ErrorResponse);

    // [THEN] The endpoint's error is forwarded, not one of this host
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 500);
    EXPECT_EQ(response.body, "bad");
}

// Guards against the same with one attempt: the retry for which the error is discarded is taken by
// others.
TEST_F(LateResponse_Tests, Forward_ServerErrorAndRetryIsTakenByOthers_ErrorIsForwarded)
{
    this->balancer.lateThreshold = {};
    this->budget.isTakenByOthers = true;
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);
    former.send(ErrorResponse);
    EXPECT_EQ(caller.readResponse().status(), 500);
}

// Guards against the same if no other endpoint exists.
TEST_F(LateResponse_Tests, Forward_ServerErrorOfTheOnlyEndpoint_ErrorIsForwarded)
{
    this->balancer.endpoints.pop_back();
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);
    former.send(ErrorResponse);
    EXPECT_EQ(caller.readResponse().status(), 500);
}

TEST_F(LateResponse_Tests, Forward_HeadAtTwoEndpoints_ConnectionStaysUsable)
{
    this->start();
    RawPeer caller = this->sendNew("HEAD /read/1");
    RawPeer former = receive(this->first);
    RawPeer latter = receive(this->second);
    latter.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    EXPECT_EQ(caller.readResponseHead().status(), 200);
    EXPECT_TRUE(former.isResetByPeer());
    caller.send(request("GET /read/2"));
    RawPeer next = receive(this->first);
    next.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(LateResponse_Tests, Forward_SmallBodyAtTwoEndpoints_BothGetItWhole)
{
    this->changeRead([](settings::Route &read) { read.isRepeatableByAnyMethod = true; });
    this->start();
    RawPeer caller = this->sendNew("PUT /read/1", "Transfer-Encoding: chunked\r\n");
    caller.send("3\r\nabc\r\n0\r\n\r\n");
    RawPeer former = receive(this->first);
    EXPECT_TRUE(former.readUntil("abc\r\n0\r\n\r\n"));
    RawPeer latter = receive(this->second);
    EXPECT_TRUE(latter.readUntil("abc\r\n0\r\n\r\n"));
    latter.send(OtherResponse);
    EXPECT_EQ(caller.readResponse().body, "other");
    EXPECT_TRUE(former.isResetByPeer());
}

TEST_F(LateResponse_Tests, Forward_NotRepeatableAndLate_NoSecondAttempt)
{
    this->start();
    RawPeer caller = this->sendNew("POST /read/1", "Content-Length: 0\r\n");
    RawPeer former = receive(this->first);
    std::this_thread::sleep_for(LongAfterIt);
    EXPECT_FALSE(this->second.hasPending());
    former.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
    former.close();
    RawPeer other = this->sendNew("GET /book/1");
    RawPeer again = receive(this->first);
    std::this_thread::sleep_for(LongAfterIt);
    EXPECT_FALSE(this->second.hasPending());
    again.send(OkResponse);
    EXPECT_EQ(other.readResponse().body, "ok");
}

TEST_F(LateResponse_Tests, Forward_BalancerThrowsForTheSecond_FirstIsReset)
{
    this->balancer.isThrowingForSpeculative = true;
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);
    EXPECT_TRUE(former.isResetByPeer());
    EXPECT_TRUE(caller.isClosedByPeer());
    EXPECT_TRUE(this->hasReports(1));
}

// Guards against a silent endpoint without evidence: no other endpoint has a free slot, and callers
// have short deadlines.
TEST_F(LateResponse_Tests, Forward_LateAtTheCallersDeadlineAndNoOther_CountsAsTimeout)
{
    // [GIVEN] A service with one endpoint, which is silent for ten times the late threshold
    this->balancer.endpoints.pop_back();
    this->start();
    RawPeer caller = this->sendNew("GET /read/1", "Damaskgate-Deadline-Ms: 500\r\n");
    RawPeer former = receive(this->first);

    // [WHEN] The caller's deadline passes
    EXPECT_EQ(caller.readResponse().status(), 504);

    // [THEN] The balancer learns that the endpoint was late, as it did when it was broken off
    ASSERT_TRUE(this->hasReports(1));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Timeout);
}

TEST_F(LateResponse_Tests, Forward_ThreeAttempts_TimeCountsOnce)
{
    RawEndpoint third;
    settings::Endpoint last = this->balancer.endpoints.back();
    last.name = core::EndpointName("bokun-3");
    last.port = third.port();
    this->balancer.endpoints.push_back(last);
    this->start();
    auto [caller, former, latter] = this->sendToBoth();
    std::this_thread::sleep_for(LongAfterIt);
    latter.send(ShedResponse);
    RawPeer healthy = receive(third);
    std::this_thread::sleep_for(LongAfterIt);
    healthy.send(ShedResponse);
    std::this_thread::sleep_for(LongAfterIt);
    former.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
    ASSERT_TRUE(this->eventually([this] { return this->observer.records.size() == 1; }));
    const RequestRecord record = this->call([this] { return this->observer.records[0]; });
    EXPECT_LE(record.upstream, record.total);
}

// Guards against retries that are used up by endpoints that no request reaches.
TEST_F(LateResponse_Tests, Forward_SecondEndpointsUnreachable_UseNoRetry)
{
    // [GIVEN] A late response, and three other endpoints that are down
    for (const char *name : { "bokun-3", "bokun-4" }) {
        settings::Endpoint down = this->balancer.endpoints[1];
        down.name = core::EndpointName(name);
        this->balancer.endpoints.push_back(down);
    }
    this->second.close();
    this->budget.available = 10;
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] All of them were tried
    ASSERT_TRUE(this->hasReports(3));

    // [THEN] The retries are left to requests that endpoints receive
    EXPECT_EQ(this->call([this] { return this->budget.available; }), 10);
    this->expectIsWaitedFor(caller, former);
}

// Guards against a request that waits for its deadline, since unrelated settings changed.
TEST_F(LateResponse_Tests, Forward_OtherSettingsChangedMeanwhile_SecondIsAsked)
{
    // [GIVEN] A request at an endpoint that stays silent
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer former = receive(this->first);

    // [WHEN] Settings change that say the same of this request
    this->call([this] { this->store.replace(makeSettings()); });

    // [THEN] Another endpoint is asked, as after any failure of the first one
    std::this_thread::sleep_for(LongAfterIt);
    EXPECT_TRUE(this->second.hasPending());
}
