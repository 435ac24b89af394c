#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view ShedResponse =
    "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\nContent-Length: 0\r\n\r\n";

struct FailureCase
{
    const char *name;
    const char *line;
    std::string_view response; //!< of each endpoint, before it closes
    int status;
    const char *reason;
    const char *verdict;
    std::size_t attempts;
};

// A request that may have run is sent again only on a repeatable route with an idempotent method.
const FailureCase FailureCases[] {
    { "Read", "GET /read/1", "", 502, "upstream-failed", "may-have-run", 2 },
    { "Write", "POST /read/1", "", 502, "upstream-failed", "may-have-run", 1 },
    { "Book", "POST /book/1", "", 502, "upstream-failed", "may-have-run", 1 },
    { "BookByPut", "PUT /book/1", "", 502, "upstream-failed", "may-have-run", 1 },
    { "ReadShed", "GET /read/1", ShedResponse, 503, "upstream-shed", "not-run", 2 },
    { "BookShed", "POST /book/1", ShedResponse, 503, "upstream-shed", "not-run", 1 },
    { "NoHttp", "POST /book/1", "nonsense\r\n\r\n", 502, "upstream-failed", "may-have-run", 1 },
    { "OtherExchange", "POST /book/1",
      "HTTP/1.1 200 OK\r\nDamaskgate-Exchange: 999\r\nContent-Length: 2\r\n\r\nno", 502,
      "upstream-failed", "may-have-run", 1 },
    { "SwitchProtocol", "POST /book/1", "HTTP/1.1 101 Switching Protocols\r\n\r\n", 502,
      "upstream-failed", "may-have-run", 1 },
    { "ConflictingLength", "POST /book/1",
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 502,
      "upstream-failed", "may-have-run", 1 },
    { "UnknownCoding", "POST /book/1", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nxx", 502,
      "upstream-failed", "may-have-run", 1 },
};

} // namespace

class OutcomeFixture : public EntryFixture
{
protected:
    OutcomeFixture()
    {
        this->start();
    }

    RawEndpoint &endpoint(std::size_t index)
    {
        return index == 0 ? this->first : this->second;
    }

    bool hasReports(std::size_t count)
    {
        return this->eventually([this, count] { return this->balancer.reports.size() == count; });
    }
};

using Outcome_Tests = OutcomeFixture;

TEST_F(Outcome_Tests, Failure_EachKind_TruthIsToldAndRetriesAreSafe)
{
    for (const FailureCase &item : FailureCases) {
        SCOPED_TRACE(item.name);
        // [GIVEN] Endpoints that fail in the same way
        RawPeer caller = this->sendNew(item.line);
        for (std::size_t i = 0; i < item.attempts; ++i) {
            RawPeer upstream = this->endpoint(i).accept();
            upstream.readRequestHead();
            upstream.send(item.response);
        }

        // [THEN] The caller is told whether its request may have run
        const WireMessage response = caller.readResponse();
        EXPECT_EQ(response.status(), item.status);
        EXPECT_EQ(response.field("Damaskgate-Reason"), item.reason);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), item.verdict);

        // [THEN] No further endpoint got the request
        EXPECT_FALSE(this->first.hasPending());
        EXPECT_FALSE(this->second.hasPending());
    }
}

TEST_F(Outcome_Tests, Connect_Refused_NotRunAndAnotherEndpointIsTried)
{
    // [GIVEN] A first endpoint that is down
    this->first.close();

    // [WHEN] Work that may not repeat comes
    RawPeer caller = this->sendNew("POST /book/1", "Content-Length: 2\r\n");
    caller.send("no");
    RawPeer upstream = this->second.accept();
    upstream.readRequestHead();
    EXPECT_TRUE(upstream.readUntil("no"));
    upstream.send(OkResponse);

    // [THEN] The other endpoint answers it
    EXPECT_EQ(caller.readResponse().body, "ok");
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::ConnectFailed);
    EXPECT_EQ(this->balancer.reports[1].outcome, Outcome::Answered);

    // [WHEN] That one is down too
    this->second.close();
    upstream.close();
    RawPeer next = this->sendNew("POST /book/1");

    // [THEN] The refusal is true
    const WireMessage refusal = next.readResponse();
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "upstream-unreachable");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "not-run");
}

TEST_F(Outcome_Tests, Answer_BreaksInTheMiddle_CallerSeesItIsNotWhole)
{
    // [GIVEN] Answers that break off, with and without a length
    const std::string_view parts[] {
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    };
    for (const std::string_view part : parts) {
        SCOPED_TRACE(part);
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(part);
        upstream.close();

        // [THEN] The caller does not take it for the whole answer
        EXPECT_FALSE(caller.readResponse().isComplete);
        EXPECT_FALSE(this->second.hasPending());
    }
}

TEST_F(Outcome_Tests, Answer_Late_NeverReachesTheNextRequest)
{
    // [GIVEN] A request whose deadline passes before its answer
    RawPeer caller = this->sendNew("GET /read/1", "Damaskgate-Deadline-Ms: 100\r\n");
    RawPeer late = this->first.accept();
    late.readRequestHead();
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.status(), 504);
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "upstream-timeout");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "may-have-run");

    // [WHEN] The caller goes on, and the late answer comes meanwhile
    caller.send(request("GET /read/2"));
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    late.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");

    // [THEN] It gets its own answer, and the abandoned connection was closed
    EXPECT_EQ(caller.readResponse().body, "new");
    EXPECT_TRUE(late.isClosedByPeer());
}

TEST_F(Outcome_Tests, Answer_Twice_SecondCopyIsDropped)
{
    // [GIVEN] An endpoint that sends one answer twice, at once or later
    const bool isAtOnce[] { true, false };
    for (const bool atOnce : isAtOnce) {
        SCOPED_TRACE(atOnce);
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(std::string(OkResponse) + (atOnce ? std::string(OkResponse) : ""));
        EXPECT_EQ(caller.readResponse().body, "ok");
        if (!atOnce) {
            upstream.send(OkResponse);
        }

        // [WHEN] The next request comes
        caller.send(request("GET /read/2"));

        // [THEN] It goes out on a new connection and gets its own answer
        RawPeer next = this->first.accept();
        next.readRequestHead();
        next.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nnew");
        EXPECT_EQ(caller.readResponse().body, "new");
    }
}

TEST_F(Outcome_Tests, Answers_OutOfOrder_EachCallerGetsItsOwn)
{
    // [GIVEN] Two callers whose requests run at the same time
    RawPeer one = this->sendNew("GET /read/1");
    RawPeer upstreamOne = this->first.accept();
    upstreamOne.readRequestHead();
    RawPeer two = this->sendNew("GET /read/2");
    RawPeer upstreamTwo = this->first.accept();
    upstreamTwo.readRequestHead();

    // [WHEN] They are answered in the other order
    upstreamTwo.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
    EXPECT_EQ(two.readResponse().body, "two");
    upstreamOne.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");

    // [THEN] Each gets its own answer
    EXPECT_EQ(one.readResponse().body, "one");
}

TEST_F(Outcome_Tests, PooledConnection_ClosedMeanwhile_WorkGoesOutOnANewOne)
{
    // [GIVEN] An idle connection that the endpoint closes
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send(OkResponse);
    EXPECT_EQ(caller.readResponse().status(), 200);
    upstream.close();

    // [WHEN] Work that may not repeat comes
    caller.send(request("POST /book/1"));

    // [THEN] It runs once, on a new connection
    RawPeer next = this->first.accept();
    next.readRequestHead();
    next.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(Outcome_Tests, Caller_Leaves_WorkIsCancelled)
{
    // [GIVEN] A request that an endpoint works on
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();

    // [WHEN] The caller leaves
    caller.close();

    // [THEN] The endpoint's connection is closed, and the endpoint is not blamed
    EXPECT_TRUE(upstream.isClosedByPeer());
    ASSERT_TRUE(this->hasReports(1));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Cancelled);
    ASSERT_TRUE(this->eventually([this] { return this->observer.records.size() == 1; }));
    EXPECT_TRUE(this->observer.records[0].isCancelled);
    EXPECT_EQ(this->observer.records[0].verdict, core::Verdict::MayHaveRun);
}

TEST_F(Outcome_Tests, Caller_LeavesTheQueue_NothingIsForwarded)
{
    // [GIVEN] A request that waits for an endpoint
    this->call([this] { this->balancer.isQueueing = true; });
    RawPeer caller = this->sendNew("POST /book/1");
    ASSERT_TRUE(this->eventually([this] { return this->balancer.queued.size() == 1; }));

    // [WHEN] The caller leaves
    caller.close();

    // [THEN] It leaves the queue
    ASSERT_TRUE(this->eventually([this] { return this->balancer.cancelled == 1; }));
    EXPECT_TRUE(this->call([this] { return this->balancer.queued.empty(); }));
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Outcome_Tests, Deadline_PassesInTheQueue_NotRun)
{
    // [GIVEN] A request that waits for longer than its deadline
    this->call([this] { this->balancer.isQueueing = true; });
    RawPeer caller = this->sendNew("POST /book/1", "Damaskgate-Deadline-Ms: 50\r\n");

    // [THEN] It is refused as not run
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.field("Damaskgate-Reason"), "deadline-exceeded");
    EXPECT_EQ(response.field("Damaskgate-Verdict"), "not-run");
    EXPECT_TRUE(this->call([this] { return this->balancer.queued.empty(); }));
}

TEST_F(Outcome_Tests, Key_WithdrawnWhileConnected_NextRequestIsRefused)
{
    // [GIVEN] A caller that was served
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send(OkResponse);
    EXPECT_EQ(caller.readResponse().status(), 200);

    // [WHEN] Its key is withdrawn
    auto next = makeSettings();
    next->workspaces.clear();
    this->call([this, &next] { this->store.replace(next); });
    caller.send(request("GET /read/2"));

    // [THEN] The key no longer works on the same connection
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.status(), 401);
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "key-unknown");
}

TEST_F(Outcome_Tests, Key_WithdrawnWhileQueued_RequestIsNotForwarded)
{
    // [GIVEN] A request that waits for an endpoint
    this->call([this] { this->balancer.isQueueing = true; });
    RawPeer caller = this->sendNew("POST /book/1");
    ASSERT_TRUE(this->eventually([this] { return this->balancer.queued.size() == 1; }));

    // [WHEN] Its key is withdrawn before its turn
    auto next = makeSettings();
    next->workspaces.clear();
    this->call([this, &next] {
        this->store.replace(next);
        this->balancer.grantQueued();
    });

    // [THEN] It is refused as not run
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "key-unknown");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "not-run");
    EXPECT_FALSE(this->first.hasPending());
}
