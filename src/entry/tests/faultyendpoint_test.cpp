#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;

namespace {

std::string shedWithTrace(const std::string &field)
{
    return "HTTP/1.1 503 Service Unavailable\r\nUpstream-Shed: 1\r\n" + field
        + "Content-Length: 0\r\n\r\n";
}

std::string traceField(const std::string &trace)
{
    return "Damaskgate-Trace: " + trace + "\r\n";
}

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
