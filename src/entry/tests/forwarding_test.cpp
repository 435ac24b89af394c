#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;

class ForwardingFixture : public EntryFixture
{
protected:
    ForwardingFixture()
    {
        this->start();
    }
};

using Forwarding_Tests = ForwardingFixture;

TEST_F(Forwarding_Tests, Request_WithKeyEverywhere_UpstreamSeesNone)
{
    // [GIVEN] A request with its key in many places and with hop-by-hop fields
    RawPeer caller = this->connect();
    caller.send("GET /read/%61?a=1&damaskgate_key=dgk-key-1&n=dgk%2dkey%2D1 HTTP/1.1\r\n"
                "Host: hall\r\nAuthorization: Bearer dgk-key-1\r\nDamaskgate-Key: dgk-key-1\r\n"
                "Cookie: k=dgk-key-1\r\nReferer: http://x/?damaskgate_key=dgk-key-1\r\n"
                "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nTE: trailers\r\n"
                "Keep-Alive: 5\r\nProxy-Authorization: x\r\nDamaskgate-Trace: trace-1\r\n"
                "Damaskgate-Deadline-Ms: 5000\r\nAccept: text/plain\r\n\r\n");

    // [WHEN] It reaches the endpoint
    RawPeer upstream = this->first.accept();
    const WireMessage seen = upstream.readRequestHead();

    // [THEN] The key and the hop-by-hop fields are removed, and the other fields are kept
    EXPECT_EQ(seen.startLine, "GET /read/a?a=1");
    for (const auto &[name, value] : seen.fields) {
        EXPECT_EQ(value.find("dgk-key"), std::string::npos) << name;
    }
    for (const char *name : { "authorization", "damaskgate-key", "cookie", "referer", "x-hop", "te",
                              "keep-alive", "proxy-authorization", "connection" }) {
        EXPECT_EQ(seen.fields.count(name), 0) << name;
    }
    EXPECT_EQ(seen.field("Host"), "hall");
    EXPECT_EQ(seen.field("Accept"), "text/plain");
    EXPECT_EQ(seen.field("Via"), "1.1 damaskgate");
    EXPECT_EQ(seen.field("Damaskgate-Trace"), "trace-1");
    EXPECT_LE(std::stoi(seen.field("Damaskgate-Deadline-Ms")), 5000);

    // [THEN] The caller gets the response without the fields reserved for endpoints and refusals
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nUpstream-Load: in-flight=1, slots=6, "
                  "incarnation=9\r\nDamaskgate-Reason: forged\r\nX-A: b\r\n\r\nok");
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 200);
    EXPECT_EQ(response.body, "ok");
    EXPECT_EQ(response.field("X-A"), "b");
    EXPECT_EQ(response.field("Upstream-Load"), "");
    EXPECT_EQ(response.field("Damaskgate-Reason"), "");
    EXPECT_EQ(response.field("Damaskgate-Trace"), "trace-1");
    ASSERT_TRUE(this->eventually([this] { return this->balancer.reports.size() == 1; }));
    EXPECT_EQ(this->balancer.reports.front().load->incarnation, 9);
}

TEST_F(Forwarding_Tests, KeepAlive_Pipelined_AnswersInOrderOnOneUpstreamConnection)
{
    // [GIVEN] Two requests sent in one write
    RawPeer caller = this->connect();
    caller.send(request("GET /read/1") + request("GET /read/2"));

    // [WHEN] The endpoint responds to both on the same connection
    RawPeer upstream = this->first.accept();
    EXPECT_EQ(upstream.readRequestHead().startLine, "GET /read/1");
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none");
    EXPECT_EQ(upstream.readRequestHead().startLine, "GET /read/2");
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n");

    // [THEN] The caller gets both responses in order
    EXPECT_EQ(caller.readResponse().body, "one");
    EXPECT_EQ(caller.readResponse().body, "two");
}

TEST_F(Forwarding_Tests, Head_AnswerWithLength_NoBodyAndConnectionKept)
{
    // [GIVEN] A HEAD request
    RawPeer caller = this->sendNew("HEAD /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();

    // [WHEN] The endpoint sends the Content-Length of a GET response
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n");

    // [THEN] The caller gets the header only, and both connections are reused
    const WireMessage response = caller.readResponse(true);
    EXPECT_EQ(response.field("Content-Length"), "500");
    caller.send(request("GET /read/2"));
    EXPECT_EQ(upstream.readRequestHead().startLine, "GET /read/2");
    upstream.send("HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(caller.readResponse().status(), 204);
}

TEST_F(Forwarding_Tests, Body_ChunkedAndSized_ArrivesWhole)
{
    // [GIVEN] A small chunked body with a trailer that contains a key
    RawPeer caller = this->sendNew("POST /read/1", "Transfer-Encoding: chunked\r\n");
    caller.send("3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nCookie: dgk-key-1\r\n\r\n");

    // [THEN] The endpoint gets the body in chunks, without the trailer
    RawPeer upstream = this->first.accept();
    EXPECT_EQ(upstream.readRequestHead().field("Transfer-Encoding"), "chunked");
    EXPECT_TRUE(upstream.readUntil("5\r\nabcde\r\n0\r\n\r\n"));
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(caller.readResponse().status(), 200);

    // [WHEN] A body with a length follows on the same connection
    caller.send(request("POST /read/2", "Content-Length: 4\r\n") + "wxyz");

    // [THEN] It is forwarded with its length
    EXPECT_EQ(upstream.readRequestHead().field("Content-Length"), "4");
    EXPECT_TRUE(upstream.readUntil("wxyz"));
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(caller.readResponse().status(), 200);
}

TEST_F(Forwarding_Tests, ExpectContinue_Accepted_BodyIsAskedForThenForwarded)
{
    // [GIVEN] A caller that expects 100 Continue before it sends its body
    RawPeer caller = this->sendNew("POST /book/1", "Content-Length: 4\r\nExpect: 100-continue\r\n");

    // [WHEN] The entry host sends 100 Continue
    EXPECT_EQ(caller.readResponse().status(), 100);
    caller.send("body");

    // [THEN] The endpoint gets the request without the Expect field
    RawPeer upstream = this->first.accept();
    EXPECT_EQ(upstream.readRequestHead().field("Expect"), "");
    EXPECT_TRUE(upstream.readUntil("body"));
    upstream.send("HTTP/1.1 201 Created\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(caller.readResponse().status(), 201);
}

TEST_F(Forwarding_Tests, ExpectContinue_Refused_BodyIsNotAskedFor)
{
    // [GIVEN] A workspace that has exceeded its rate limit
    this->call([this] { this->admission.isOpen = false; });

    // [WHEN] A caller expects 100 Continue before it sends its body
    RawPeer caller = this->sendNew("POST /book/1", "Content-Length: 4\r\nExpect: 100-continue\r\n");

    // [THEN] It gets the refusal instead of 100 Continue
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 429);
    EXPECT_EQ(response.field("Damaskgate-Verdict"), "not-run");
    EXPECT_EQ(response.field("Retry-After"), "1");
    EXPECT_EQ(response.field("Connection"), "close");
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Forwarding_Tests, Answer_Interim_IsNotPassedOn)
{
    // [GIVEN] An endpoint that sends interim responses
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");

    // [THEN] The caller gets only the final response
    EXPECT_EQ(caller.readResponse().status(), 200);
}

TEST_F(Forwarding_Tests, Answer_UntilClose_IsDelimitedForTheCaller)
{
    // [GIVEN] An endpoint that ends its response by closing the connection
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\n\r\nall of it");
    upstream.close();

    // [THEN] The caller gets the complete response in chunks
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.field("Transfer-Encoding"), "chunked");
    EXPECT_EQ(response.body, "all of it");
    EXPECT_TRUE(response.isComplete);
}

TEST_F(Forwarding_Tests, Answer_OldCaller_GetsNoChunks)
{
    // [GIVEN] An HTTP/1.0 caller
    RawPeer caller = this->connect();
    caller.send("GET /read/1 HTTP/1.0\r\nDamaskgate-Key: dgk-key-1\r\n\r\n");
    RawPeer upstream = this->first.accept();
    EXPECT_EQ(upstream.readRequestHead().field("Host"), "bokun");
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");

    // [THEN] The end of its response is marked by closing the connection
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.field("Transfer-Encoding"), "");
    EXPECT_EQ(response.field("Connection"), "close");
    EXPECT_EQ(response.body, "ok");
    EXPECT_TRUE(caller.isClosedByPeer());
}

TEST_F(Forwarding_Tests, Answer_Early_ReachesTheCallerBeforeItsBodyEnds)
{
    // [GIVEN] A caller that has sent a part of a large body
    RawPeer caller = this->sendNew("POST /read/1", "Content-Length: 10000000\r\n");
    caller.send(std::string(100000, 'x'));
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();

    // [WHEN] The endpoint responds without waiting for the rest
    upstream.send("HTTP/1.1 413 Payload Too Large\r\nContent-Length: 3\r\n\r\nbig");

    // [THEN] The caller gets the response, and its connection closes
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 413);
    EXPECT_EQ(response.body, "big");
    EXPECT_EQ(response.field("Connection"), "close");
    EXPECT_TRUE(caller.isClosedByPeer());
}

TEST_F(Forwarding_Tests, Streaming_BothWays_PartsPassBeforeTheEnd)
{
    // [GIVEN] An incomplete chunked request and an endpoint that sends its response in parts
    RawPeer caller = this->sendNew("POST /read/1", "Transfer-Encoding: chunked\r\n");
    const std::string large(20000, 'x');
    caller.send("4e20\r\n" + large + "\r\n");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n");

    // [THEN] Each part is forwarded while the other side is still sending
    EXPECT_TRUE(caller.readUntil("1\r\na\r\n"));
    caller.send("3\r\nmid\r\n");
    EXPECT_TRUE(upstream.readUntil("3\r\nmid\r\n"));
    upstream.send("1\r\nb\r\n");
    EXPECT_TRUE(caller.readUntil("1\r\nb\r\n"));
    caller.send("0\r\n\r\n");
    EXPECT_TRUE(upstream.readUntil("0\r\n\r\n"));
    upstream.send("0\r\n\r\n");
    EXPECT_TRUE(caller.readUntil("0\r\n\r\n"));
}

TEST_F(Forwarding_Tests, Streaming_EndpointDoesNotRead_CallerIsHeldBack)
{
    // [GIVEN] An endpoint that stops reading
    constexpr std::size_t Total = 256U << 20U;
    constexpr std::size_t Bound = 64U << 20U;
    RawPeer caller =
        this->sendNew("POST /read/1", "Content-Length: " + std::to_string(Total) + "\r\n");

    // [WHEN] The caller sends until it is blocked
    const std::size_t sent = caller.sendUntilBlocked(Total);

    // [THEN] It is blocked once the socket buffers are full
    EXPECT_LT(sent, Bound);
    EXPECT_GT(sent, 16384);
    RawPeer upstream = this->first.accept();
}

TEST_F(Forwarding_Tests, Streaming_CallerDoesNotRead_EndpointIsHeldBack)
{
    // [GIVEN] A caller that does not read its response
    constexpr std::size_t Total = 256U << 20U;
    constexpr std::size_t Bound = 64U << 20U;
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Total) + "\r\n\r\n");

    // [WHEN] The endpoint sends until it is blocked
    const std::size_t sent = upstream.sendUntilBlocked(Total);

    // [THEN] It is blocked once the socket buffers are full
    EXPECT_LT(sent, Bound);
    EXPECT_GT(sent, 16384);
}
