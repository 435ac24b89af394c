#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;

namespace {

constexpr int HeaderTimeoutMs = 300;

struct BadInput
{
    const char *name;
    std::string text;
    int status; //!< zero: the connection closes without a response
};

std::string withFields(const std::string &fields, const std::string &body = {})
{
    return "POST /read/1 HTTP/1.1\r\nHost: hall\r\nDamaskgate-Key: dgk-key-1\r\n" + fields + "\r\n"
        + body;
}

const BadInput BadInputs[] {
    { "NoHttp", "hello\r\n\r\n", 400 },
    { "TwoHosts", withFields("Host: other\r\n"), 400 },
    { "NoHost", "GET /read/1 HTTP/1.1\r\n\r\n", 400 },
    { "OtherVersion", "GET /read/1 HTTP/2.0\r\nHost: a\r\n\r\n", 400 },
    { "LengthAndChunked",
      withFields("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"), 400 },
    { "ChunkedAndLength",
      withFields("Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n"), 400 },
    { "TwoLengths", withFields("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"), 400 },
    { "EqualLengths", withFields("Content-Length: 3\r\nContent-Length: 3\r\n", "abc"), 400 },
    { "LengthList", withFields("Content-Length: 3, 4\r\n", "abcd"), 400 },
    { "NegativeLength", withFields("Content-Length: -1\r\n"), 400 },
    { "SignedLength", withFields("Content-Length: +3\r\n", "abc"), 400 },
    { "OtherCoding", withFields("Transfer-Encoding: gzip\r\n"), 400 },
    { "CodingList", withFields("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"), 400 },
    { "TwoCodings",
      withFields("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      400 },
    { "CodingInOldVersion", "POST /read/1 HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "Folding", withFields("X-A: b\r\n c\r\n"), 400 },
    { "FoldingWithTab", withFields("X-A: b\r\n\tc\r\n"), 400 },
    { "BareLineFeed", withFields("X-A: b\nX-B: c\r\n"), 400 },
    { "BareCarriageReturn", withFields("X-A: b\rc\r\n"), 400 },
    { "Nul", withFields(std::string("X-A: b\0c\r\n", 10)), 400 },
    { "BlankBeforeColon", withFields("X-A : b\r\n"), 400 },
    { "NoColon", withFields("nonsense\r\n"), 400 },
    { "DotSegment", "GET /read/../book HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    { "EncodedSlash", "GET /read%2f1 HTTP/1.1\r\nHost: a\r\n\r\n", 400 },
    { "KeyInPath", "GET /read/dgk-key-1 HTTP/1.1\r\nHost: a\r\nDamaskgate-Key: dgk-key-1\r\n\r\n",
      400 },
    { "TwoKeys", withFields("Authorization: Bearer other\r\n"), 400 },
    { "BadDeadline", withFields("Damaskgate-Deadline-Ms: soon\r\n"), 400 },
    { "Connect", "CONNECT hall:80 HTTP/1.1\r\nHost: hall\r\n\r\n", 400 },
    { "Trace", "TRACE /read/1 HTTP/1.1\r\nHost: hall\r\n\r\n", 400 },
    { "OversizedHeader", withFields("X-A: " + std::string(20000, 'a') + "\r\n"), 431 },
    { "BadChunkSize", withFields("Transfer-Encoding: chunked\r\n", "xyz\r\nabc\r\n0\r\n\r\n"),
      400 },
    { "BadChunkEnd", withFields("Transfer-Encoding: chunked\r\n", "3\r\nabcd\r\n0\r\n\r\n"), 400 },
    { "HugeChunkSize", withFields("Transfer-Encoding: chunked\r\n", "fffffffffffffffff\r\nabc\r\n"),
      400 },
    { "OwnPath", "GET /.damaskgate/v1/other HTTP/1.1\r\nHost: a\r\n\r\n", 404 },
    { "NoKey", "GET /read/1 HTTP/1.1\r\nHost: a\r\n\r\n", 401 },
    { "UnknownKey", "GET /read/1 HTTP/1.1\r\nHost: a\r\nDamaskgate-Key: x\r\n\r\n", 401 },
    { "UnknownRoute", "GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404 },
};

} // namespace

class BadInputFixture : public EntryFixture
{
protected:
    BadInputFixture()
    {
        this->options.headerTimeout = std::chrono::milliseconds(HeaderTimeoutMs);
        this->options.keepAliveTimeout = std::chrono::milliseconds(HeaderTimeoutMs);
        this->start();
    }
};

using BadInput_Tests = BadInputFixture;

TEST_F(BadInput_Tests, Request_Malformed_IsRefusedAndNeverForwarded)
{
    for (const BadInput &item : BadInputs) {
        SCOPED_TRACE(item.name);
        // [WHEN] A caller sends bad input
        RawPeer caller = this->connect();
        caller.send(item.text);

        // [THEN] It is refused as not run, and no endpoint receives it
        const WireMessage response = caller.readResponse();
        EXPECT_EQ(response.status(), item.status);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), "not-run");
        EXPECT_NE(response.field("Damaskgate-Reason"), "");
    }
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(BadInput_Tests, Request_MalformedThenMore_RestIsNotReadAsRequest)
{
    // [GIVEN] A request with conflicting framing, followed by a second request
    RawPeer caller = this->connect();
    caller.send(withFields("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n")
                + request("GET /read/2"));

    // [THEN] The connection closes after the refusal
    EXPECT_EQ(caller.readResponse().status(), 400);
    EXPECT_TRUE(caller.isClosedByPeer());
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(BadInput_Tests, Header_Slow_TimesOut)
{
    // [GIVEN] A caller that does not complete its header
    RawPeer caller = this->connect();
    caller.send("GET /read/1 HTTP/1.1\r\nHost: a\r\n");

    // [THEN] It gets a request timeout, and the connection closes
    EXPECT_EQ(caller.readResponse().status(), 408);
    EXPECT_TRUE(caller.isClosedByPeer());
}

TEST_F(BadInput_Tests, Connection_Silent_IsClosedWithoutAnswer)
{
    // [GIVEN] A caller that sends nothing
    RawPeer caller = this->connect();

    // [THEN] Its connection is closed
    EXPECT_TRUE(caller.isClosedByPeer());
}

TEST_F(BadInput_Tests, HalfClose_WithinHeaderOrBody_IsRefused)
{
    // [GIVEN] Callers that close their sending side within a request
    const std::string parts[] { "GET /read/1 HTTP/1.1\r\nHost: a\r\n",
                                withFields("Content-Length: 10\r\n", "half"),
                                withFields("Transfer-Encoding: chunked\r\n", "5\r\nhal") };
    for (const std::string &part : parts) {
        SCOPED_TRACE(part);
        RawPeer caller = this->connect();
        caller.send(part);
        caller.closeSending();

        // [THEN] They are refused, and no endpoint receives the request
        EXPECT_EQ(caller.readResponse().status(), 400);
    }
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(BadInput_Tests, Body_BrokenAfterItsFirstPart_UpstreamConnectionIsClosed)
{
    // [GIVEN] A large body whose first part has been forwarded
    RawPeer caller = this->sendNew("POST /read/1", "Transfer-Encoding: chunked\r\n");
    caller.send("4e20\r\n" + std::string(20000, 'x') + "\r\n");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    EXPECT_TRUE(upstream.readUntil("xxx"));

    // [WHEN] The caller sends a malformed chunk size
    caller.send("zz\r\n");

    // [THEN] The verdict is may-have-run, and the endpoint receives no last chunk
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 400);
    EXPECT_EQ(response.field("Damaskgate-Verdict"), "may-have-run");
    EXPECT_FALSE(upstream.readUntil("0\r\n\r\n"));
}
