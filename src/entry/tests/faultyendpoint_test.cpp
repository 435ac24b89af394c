#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;

namespace {

constexpr std::size_t EndlessBytes = 4UL * 1024 * 1024; // more than any buffer on the way
constexpr int EndlessLines = 20000;

std::string shedWithTrace(const std::string &field)
{
    return "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\n" + field
        + "Content-Length: 0\r\n\r\n";
}

std::string traceField(const std::string &trace)
{
    return "Damaskgate-Trace: " + trace + "\r\n";
}

/** Head of a response that is followed by bytes without end. */
struct EndlessCase
{
    const char *name;
    std::string head;
    int status; //!< of the response to the caller
};

const EndlessCase EndlessCases[] {
    { "NoResponse", "", 502 },
    { "FieldOfTheHead", "HTTP/1.1 200 OK\r\nX-A: ", 502 },
    { "StatusLine", "HTTP/1.1 200 ", 502 },
    { "BodyOfARefusal",
      "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\nContent-Length: 99999999\r\n\r\n",
      503 },
    { "BodyOfARefusalUntilClose", "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\n\r\n",
      503 },
};

} // namespace

/** Endpoints that violate HTTP or send more than one response to a request. */
class FaultyEndpointFixture : public EntryFixture
{
protected:
    /** Uses a dialect in which endpoints echo the trace id and any shed request may be retried. */
    void startWithTraceEcho()
    {
        this->options.dialect.exchangeField.clear();
        this->options.dialect.isShedSafeToRetry = true;
        this->options.dialect.isVerdictInStatus = true;
        this->start();
    }

    /** Serves a first request, so that its connection to the endpoint is kept. */
    RawPeer keepConnection(RawPeer &caller)
    {
        caller.send(request("POST /book/1", traceField("t-1")));
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send("HTTP/1.1 200 OK\r\n" + traceField("t-1") + "Content-Length: 2\r\n\r\nok");
        EXPECT_EQ(caller.readResponse().body, "ok");
        return upstream;
    }
};

using FaultyEndpoint_Tests = FaultyEndpointFixture;

// Guards against "not run" for a request that runs, after an endpoint repeated an older refusal.
TEST_F(FaultyEndpoint_Tests, Shed_EarlierRefusalRepeatedOnAKeptConnection_IsNotTakenForTheNext)
{
    // [GIVEN] The id of the earlier request, or none, in the repeated refusal
    for (const std::string &field : { traceField("t-0"), std::string {} }) {
        SCOPED_TRACE(field);
        if (!this->server) {
            this->startWithTraceEcho();
        }
        RawPeer caller = this->connect();
        RawPeer upstream = this->keepConnection(caller);

        // [WHEN] The endpoint runs the next request, but first writes the earlier refusal again
        caller.send(request("POST /book/2", traceField("t-2")));
        EXPECT_EQ(upstream.readRequestHead().startLine, "POST /book/2");
        upstream.send(shedWithTrace(field));
        upstream.close();

        // [THEN] The caller is not told that the request has not run, and no other endpoint gets it
        EXPECT_EQ(caller.readResponse().status(), 502);
        EXPECT_FALSE(this->second.hasPending());
    }
}

// Guards against the loss of refusals that are true: they are retried elsewhere.
TEST_F(FaultyEndpoint_Tests, Shed_OnAKeptConnectionWithItsId_IsRetriedElsewhere)
{
    // [GIVEN] A kept connection
    this->startWithTraceEcho();
    RawPeer caller = this->connect();
    RawPeer upstream = this->keepConnection(caller);

    // [WHEN] The endpoint refuses the next request
    caller.send(request("POST /book/2", traceField("t-2")));
    upstream.readRequestHead();
    upstream.send(shedWithTrace(traceField("t-2")));

    // [THEN] The other endpoint gets it
    RawPeer other = this->second.accept();
    other.readRequestHead();
    other.send("HTTP/1.1 200 OK\r\n" + traceField("t-2") + "Content-Length: 3\r\n\r\nnew");
    EXPECT_EQ(caller.readResponse().body, "new");
}

// Guards against a successful response made from a response head that broke off.
TEST_F(FaultyEndpoint_Tests, Head_EndsMidway_IsNoResponse)
{
    const std::string head = "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 2\r\n\r";
    this->start();
    for (std::size_t size = 1; size <= head.size(); ++size) {
        SCOPED_TRACE(size);
        // [WHEN] An endpoint closes the connection within its response head
        RawPeer caller = this->sendNew("POST /book/1");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(head.substr(0, size));
        upstream.close();

        // [THEN] The caller gets a failure that does not claim that the request has not run
        const WireMessage response = caller.readResponse();
        EXPECT_EQ(response.status(), 502);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), "may-have-run");
    }
}

// Guards against requests that wait for their deadline while an endpoint sends bytes without end.
TEST_F(FaultyEndpoint_Tests, Response_BytesWithoutEnd_AreCutOff)
{
    this->start();
    for (const EndlessCase &item : EndlessCases) {
        SCOPED_TRACE(item.name);
        // [WHEN] An endpoint sends bytes without end
        RawPeer caller = this->sendNew("POST /book/1");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(item.head);
        const std::size_t sent = upstream.sendUntilBlocked(EndlessBytes);

        // [THEN] The caller gets its response, and the connection to the endpoint is closed
        EXPECT_EQ(caller.readResponse().status(), item.status);
        EXPECT_LT(sent, EndlessBytes);
        EXPECT_TRUE(upstream.isClosedByPeer());
    }
}

// Guards against the same by interim responses, of which none is final.
TEST_F(FaultyEndpoint_Tests, Response_InterimWithoutEnd_IsCutOff)
{
    // [WHEN] An endpoint sends only interim responses
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    for (int i = 0; i < EndlessLines; ++i) {
        upstream.send("HTTP/1.1 102 Processing\r\n\r\n");
    }

    // [THEN] The caller gets a failure
    EXPECT_EQ(caller.readResponse().status(), 502);
    EXPECT_TRUE(upstream.isClosedByPeer());
}

// Guards against unbounded memory for a chunk header that never ends.
TEST_F(FaultyEndpoint_Tests, Response_ChunkHeaderWithoutEnd_IsCutOff)
{
    // [WHEN] An endpoint starts a body and then sends a chunk header without end
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n4;x=");
    const std::size_t sent = upstream.sendUntilBlocked(EndlessBytes);

    // [THEN] The response ends incomplete, and the connection to the endpoint is closed
    EXPECT_FALSE(caller.readResponse().isComplete);
    EXPECT_LT(sent, EndlessBytes);
    EXPECT_TRUE(upstream.isClosedByPeer());
}

// Guards against the same by a trailer.
TEST_F(FaultyEndpoint_Tests, Response_TrailerWithoutEnd_IsCutOff)
{
    // [WHEN] An endpoint completes a body and then sends a trailer without end
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-A: ");
    const std::size_t sent = upstream.sendUntilBlocked(EndlessBytes);

    // [THEN] The response ends incomplete, and the connection to the endpoint is closed
    EXPECT_FALSE(caller.readResponse().isComplete);
    EXPECT_LT(sent, EndlessBytes);
    EXPECT_TRUE(upstream.isClosedByPeer());
}

// Guards against memory for a body without end that the caller does not read.
TEST_F(FaultyEndpoint_Tests, Response_BodyWithoutEndToASlowCaller_HoldsTheEndpointBack)
{
    // [WHEN] An endpoint sends a body without end, and the caller reads only the head
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\n\r\n");
    constexpr std::size_t Limit = 256UL * 1024 * 1024;
    const std::size_t sent = upstream.sendUntilBlocked(Limit);

    // [THEN] The endpoint can send only what the buffers of the connections hold
    EXPECT_LT(sent, Limit);

    // [WHEN] The caller leaves
    caller.close();

    // [THEN] The connection to the endpoint is closed
    EXPECT_TRUE(upstream.isClosedByPeer());
}

// Guards against a retry that waits for the rest of the failure that it replaces.
TEST_F(FaultyEndpoint_Tests, Retry_FailureWithoutEnd_IsNotWaitedFor)
{
    // [WHEN] An endpoint fails a repeatable request and does not finish its response
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer failing = this->first.accept();
    failing.readRequestHead();
    failing.send("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 10\r\n\r\nhalf");

    // [THEN] The other endpoint gets the request, and the unfinished connection is closed
    RawPeer healthy = this->second.accept();
    healthy.readRequestHead();
    healthy.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    EXPECT_EQ(caller.readResponse().body, "ok");
    EXPECT_TRUE(failing.isClosedByPeer());
    EXPECT_EQ(this->call([this] { return this->balancer.reports.front().outcome; }),
              Outcome::ServerError);
}
