#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;

namespace {

/** A line or a part of a response header. */
struct HeadCase
{
    const char *name;
    std::string fields; //!< as sent after the status line, each with CRLF
};

const HeadCase MalformedHeads[] {
    { "FoldOfAField", "X-Sign: s\r\n X-Odd: 1\r\nContent-Length: 2\r\n" },
    { "FoldWithTab", "X-Sign: s\r\n\tX-Odd: 1\r\nContent-Length: 2\r\n" },
    { "FoldOfAnEmptyField", "X-Sign:\r\n X-Odd: 1\r\nContent-Length: 2\r\n" },
    { "FoldOfBlanks", "X-Sign: s\r\n  \r\nContent-Length: 2\r\n" },
    { "FoldAfterTheStatusLine", " X-Odd: 1\r\nContent-Length: 2\r\n" },
    { "FoldAtTheEnd", "Content-Length: 2\r\nX-Sign: s\r\n X-Odd: 1\r\n" },
    { "FoldThatHidesTheLength", "X-Sign: s\r\n Content-Length: 2\r\n" },
    { "FoldThatHidesTheCoding", "X-Sign: s\r\n Transfer-Encoding: chunked\r\n" },
    { "FoldWithinTheLength", "Content-Length:\r\n 2\r\n" },
    { "FoldAfterTheLength", "Content-Length: 2\r\n 0\r\n" },
    { "BlankInAName", "X Odd: 1\r\nContent-Length: 2\r\n" },
    { "TabInAName", "X\tOdd: 1\r\nContent-Length: 2\r\n" },
    { "ControlInAName", "X\1Odd: 1\r\nContent-Length: 2\r\n" },
    { "DeleteInAName", "X\177Odd: 1\r\nContent-Length: 2\r\n" },
    { "HighOctetInAName", "X\xc3\xa9: 1\r\nContent-Length: 2\r\n" },
    { "NoName", ": 1\r\nContent-Length: 2\r\n" },
    { "NoColon", "nonsense\r\nContent-Length: 2\r\n" },
    { "BlankBeforeTheColon", "X-Odd : 1\r\nContent-Length: 2\r\n" },
    { "BareCarriageReturnInAValue", "X-Odd: 1\r2\r\nContent-Length: 2\r\n" },
    { "BareLineFeedInAValue", "X-Odd: 1\nX-More: 2\r\nContent-Length: 2\r\n" },
    { "NulInAValue", std::string("X-Odd: 1\0002\r\nContent-Length: 2\r\n", 31) },
    { "ControlInAValue", "X-Odd: 1\0012\r\nContent-Length: 2\r\n" },
    { "DeleteInAValue", "X-Odd: 1\1772\r\nContent-Length: 2\r\n" },
    { "UnknownCoding", "Transfer-Encoding: gzip\r\n" },
    { "CodingList", "Transfer-Encoding: gzip, chunked\r\n" },
    { "TwoCodings", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n" },
    { "TwoLengths", "Content-Length: 2\r\nContent-Length: 3\r\n" },
    { "SignedLength", "Content-Length: +2\r\n" },
    { "LengthAndCoding", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n" },
};

const HeadCase ValidHeads[] {
    { "EmptyValue", "X-Sign:\r\nContent-Length: 2\r\n" },
    { "BlanksAroundAValue", "X-Sign: \t s t \t \r\nContent-Length: 2\r\n" },
    { "HighOctetInAValue", "X-Sign: \xc3\xa9\r\nContent-Length: 2\r\n" },
};

} // namespace

/** Endpoints whose response headers are malformed. */
class MalformedHead_Tests : public EntryFixture
{
protected:
    /** Sends @p text as the response to an unsafe request. @return what the caller receives */
    WireMessage respondWith(std::string_view text)
    {
        this->call([this] { this->balancer.reports.clear(); });
        RawPeer caller = this->sendNew("POST /book/1");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(text);
        upstream.close();
        WireMessage response = caller.readResponse();
        EXPECT_TRUE(this->eventually([this] { return this->balancer.reports.size() == 1; }));
        return response;
    }

    void expectRefused(const WireMessage &response)
    {
        EXPECT_EQ(response.status(), 502);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), "may-have-run");
        EXPECT_EQ(this->call([this] { return this->balancer.reports.at(0).outcome; }),
                  Outcome::BrokenOff);
        EXPECT_FALSE(this->second.hasPending());
    }
};

// Guards against a header that the host and the caller read in different ways, such as a folded
// line that is joined to the field before it, or that hides the length of the body.
TEST_F(MalformedHead_Tests, Forward_MalformedHead_IsNoResponse)
{
    this->start();
    for (const HeadCase &head : MalformedHeads) {
        SCOPED_TRACE(head.name);
        this->expectRefused(this->respondWith("HTTP/1.1 200 OK\r\n" + head.fields + "\r\nok"));
    }
}

// Guards against the same in a response that precedes the final one.
TEST_F(MalformedHead_Tests, Forward_MalformedInterimHead_IsNoResponse)
{
    this->start();
    const std::string final = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const char *interim : { "HTTP/1.1 100 Continue\r\nX-A: b\r\n c\r\n\r\n",
                                 "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n c\r\n\r\n",
                                 "HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n" }) {
        SCOPED_TRACE(interim);
        this->expectRefused(this->respondWith(interim + final));
    }
}

// Guards against valid headers that are refused.
TEST_F(MalformedHead_Tests, Forward_ValidHead_IsForwarded)
{
    this->start();
    for (const HeadCase &head : ValidHeads) {
        SCOPED_TRACE(head.name);
        const WireMessage response =
            this->respondWith("HTTP/1.1 200 OK\r\n" + head.fields + "\r\nok");
        EXPECT_EQ(response.status(), 200);
        EXPECT_EQ(response.body, "ok");
    }
}

// Guards against fields of a trailer that reach the caller, and against a body that is complete
// though its trailer is not.
TEST_F(MalformedHead_Tests, Forward_Trailer_IsDroppedOrBreaksTheResponse)
{
    this->start();
    const std::string chunks =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
    const WireMessage valid = this->respondWith(chunks + "X-Odd: 1\r\n\r\n");
    EXPECT_TRUE(valid.isComplete);
    EXPECT_EQ(valid.body, "ok");
    EXPECT_EQ(valid.field("X-Odd"), "");
    for (const char *trailer : { "X Odd: 1\r\n\r\n", "X-Odd: 1\1\r\n\r\n", "nonsense\r\n\r\n",
                                 "X-Odd: 1\r\n", "Content-Length: 2\r\n\r\n" }) {
        SCOPED_TRACE(trailer);
        EXPECT_FALSE(this->respondWith(chunks + trailer).isComplete);
    }
}
