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
    std::string_view response; //!< sent by each endpoint before it closes
    int status;
    const char *reason;
    const char *verdict;
    std::size_t attempts;
};

// A request that may have run is retried only on a repeatable route with an idempotent method.
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

TEST_F(Outcome_Tests, Failure_EachKind_VerdictIsTrueAndRetriesAreSafe)
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

        // [THEN] The refusal has the right reason and verdict
        const WireMessage response = caller.readResponse();
        EXPECT_EQ(response.status(), item.status);
        EXPECT_EQ(response.field("Damaskgate-Reason"), item.reason);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), item.verdict);

        // [THEN] No further endpoint receives the request
        EXPECT_FALSE(this->first.hasPending());
        EXPECT_FALSE(this->second.hasPending());
    }
}

TEST_F(Outcome_Tests, Connect_Refused_NotRunAndAnotherEndpointIsTried)
{
    // [GIVEN] A first endpoint that is down
    this->first.close();

    // [WHEN] A request that is not repeatable arrives
    RawPeer caller = this->sendNew("POST /book/1", "Content-Length: 2\r\n");
    caller.send("no");
    RawPeer upstream = this->second.accept();
    upstream.readRequestHead();
    EXPECT_TRUE(upstream.readUntil("no"));
    upstream.send(OkResponse);

    // [THEN] The other endpoint responds to it
    EXPECT_EQ(caller.readResponse().body, "ok");
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::ConnectFailed);
    EXPECT_EQ(this->balancer.reports[1].outcome, Outcome::Answered);

    // [WHEN] The other endpoint is down too
    this->second.close();
    upstream.close();
    RawPeer next = this->sendNew("POST /book/1");

    // [THEN] The request is refused as not run
    const WireMessage refusal = next.readResponse();
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "upstream-unreachable");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "not-run");
}

TEST_F(Outcome_Tests, Answer_BreaksInTheMiddle_CallerSeesItIsNotWhole)
{
    // [GIVEN] Truncated responses with and without a length
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

        // [THEN] The caller detects that the response is incomplete
        EXPECT_FALSE(caller.readResponse().isComplete);
        EXPECT_FALSE(this->second.hasPending());
    }
}

TEST_F(Outcome_Tests, Answer_Late_NeverReachesTheNextRequest)
{
    // [GIVEN] A request whose deadline expires before its response
    RawPeer caller = this->sendNew("GET /read/1", "Damaskgate-Deadline-Ms: 100\r\n");
    RawPeer late = this->first.accept();
    late.readRequestHead();
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.status(), 504);
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "upstream-timeout");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "may-have-run");

    // [WHEN] The caller sends its next request, and the late response is sent meanwhile
    caller.send(request("GET /read/2"));
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    late.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");

    // [THEN] The caller gets the matching response, and the abandoned connection is closed
    EXPECT_EQ(caller.readResponse().body, "new");
    EXPECT_TRUE(late.isClosedByPeer());
}

TEST_F(Outcome_Tests, Answer_Twice_SecondCopyIsDropped)
{
    // [GIVEN] An endpoint that sends one response twice, immediately or later
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

        // [WHEN] The next request arrives
        caller.send(request("GET /read/2"));

        // [THEN] It is sent on a new connection and gets the matching response
        RawPeer next = this->first.accept();
        next.readRequestHead();
        next.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: close\r\n\r\nnew");
        EXPECT_EQ(caller.readResponse().body, "new");
    }
}

TEST_F(Outcome_Tests, Answers_OutOfOrder_EachCallerGetsItsOwn)
{
    // [GIVEN] Two callers with concurrent requests
    RawPeer firstCaller = this->sendNew("GET /read/1");
    RawPeer upstreamOne = this->first.accept();
    upstreamOne.readRequestHead();
    RawPeer secondCaller = this->sendNew("GET /read/2");
    RawPeer upstreamTwo = this->first.accept();
    upstreamTwo.readRequestHead();

    // [WHEN] The responses are sent in reverse order
    upstreamTwo.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo");
    EXPECT_EQ(secondCaller.readResponse().body, "two");
    upstreamOne.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");

    // [THEN] Each caller gets the matching response
    EXPECT_EQ(firstCaller.readResponse().body, "one");
}

TEST_F(Outcome_Tests, PooledConnection_ClosedMeanwhile_WorkGoesOutOnANewOne)
{
    // [GIVEN] A pooled connection that the endpoint has closed
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send(OkResponse);
    EXPECT_EQ(caller.readResponse().status(), 200);
    upstream.close();

    // [WHEN] A request that is not repeatable arrives
    caller.send(request("POST /book/1"));

    // [THEN] It is sent once, on a new connection
    RawPeer next = this->first.accept();
    next.readRequestHead();
    next.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(Outcome_Tests, Caller_Leaves_WorkIsCancelled)
{
    // [GIVEN] A request that an endpoint is processing
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();

    // [WHEN] The caller disconnects
    caller.close();

    // [THEN] The endpoint's connection is closed, and the report does not count against the
    // endpoint
    EXPECT_TRUE(upstream.isClosedByPeer());
    ASSERT_TRUE(this->hasReports(1));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Cancelled);
    ASSERT_TRUE(this->eventually([this] { return this->observer.records.size() == 1; }));
    EXPECT_TRUE(this->observer.records[0].isCancelled);
    EXPECT_EQ(this->observer.records[0].verdict, core::Verdict::MayHaveRun);
}

TEST_F(Outcome_Tests, Caller_LeavesTheQueue_NothingIsForwarded)
{
    // [GIVEN] A request queued for an endpoint slot
    this->call([this] { this->balancer.isQueueing = true; });
    RawPeer caller = this->sendNew("POST /book/1");
    ASSERT_TRUE(this->eventually([this] { return this->balancer.queued.size() == 1; }));

    // [WHEN] The caller disconnects
    caller.close();

    // [THEN] Its request is removed from the queue
    ASSERT_TRUE(this->eventually([this] { return this->balancer.cancelled == 1; }));
    EXPECT_TRUE(this->call([this] { return this->balancer.queued.empty(); }));
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Outcome_Tests, Deadline_PassesInTheQueue_NotRun)
{
    // [GIVEN] A request that is queued beyond its deadline
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
    // [GIVEN] A caller with a served request
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

    // [THEN] The next request on the same connection is refused
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.status(), 401);
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "key-unknown");
}

TEST_F(Outcome_Tests, Key_WithdrawnWhileQueued_RequestIsNotForwarded)
{
    // [GIVEN] A request queued for an endpoint slot
    this->call([this] { this->balancer.isQueueing = true; });
    RawPeer caller = this->sendNew("POST /book/1");
    ASSERT_TRUE(this->eventually([this] { return this->balancer.queued.size() == 1; }));

    // [WHEN] Its key is withdrawn before the slot is granted
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
