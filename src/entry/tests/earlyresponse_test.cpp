#include <future>
#include <thread>

#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;

namespace {

constexpr std::size_t UploadBytes = 6UL * 1024 * 1024; // more than the socket buffers hold
constexpr std::chrono::milliseconds DeliveryTime { 20 };
const std::string Part(2000, 'p');

/** What tells that a response is whole. */
enum class End {
    OfConnection, //!< an orderly end of the connection
    Missing, //!< a length or a last chunk, which the endpoint does not reach
    Included, //!< a length or a last chunk, which has been sent
};

/** A response, with the body Part, that its endpoint sends before the upload has ended. */
struct EarlyResponse
{
    const char *name;
    std::string text;
    End end;
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const std::string OkChunked = Ok + "Transfer-Encoding: chunked\r\n\r\n7d0\r\n" + Part + "\r\n";
const EarlyResponse EarlyResponses[] {
    { "NoLength", Ok + "\r\n" + Part, End::OfConnection },
    { "NoLengthClosing", Ok + "Connection: close\r\n\r\n" + Part, End::OfConnection },
    { "OldVersion", "HTTP/1.0 200 OK\r\n\r\n" + Part, End::OfConnection },
    { "LongerLength", Ok + "Content-Length: 2001\r\n\r\n" + Part, End::Missing },
    { "Length", Ok + "Content-Length: 2000\r\n\r\n" + Part, End::Included },
    { "NoLastChunk", OkChunked, End::Missing },
    { "Chunked", OkChunked + "0\r\n\r\n", End::Included },
};

void reset(RawPeer &upstream)
{
    upstream.stream().set_option(boost::asio::socket_base::linger(true, 0));
    upstream.close();
}

/** How an endpoint ends a connection on which it has not read the whole request. */
struct ConnectionEnd
{
    const char *name;
    void (*end)(RawPeer &upstream);
    bool isOrderly; //!< the endpoint has ended its side of the connection before any reset
};

const ConnectionEnd ConnectionEnds[] {
    { "Reset", reset, false },
    { "ClosedWithInputUnread", [](RawPeer &upstream) { upstream.close(); }, false },
    { "EndedAndReset",
      [](RawPeer &upstream) {
          upstream.closeSending();
          reset(upstream);
      },
      true },
    { "Ended", [](RawPeer &upstream) { upstream.closeSending(); }, true },
};

} // namespace

/** Endpoints that respond to an upload before it has ended. */
class EarlyResponseFixture : public EntryFixture
{
protected:
    /** A caller that sends an upload, and the endpoint that has received the start of it. */
    struct Upload
    {
        std::shared_ptr<RawPeer> caller;
        RawPeer upstream;
        std::future<void> sending; //!< ends with the upload or with the connection
    };

    EarlyResponseFixture()
    {
        this->start();
    }

    Upload startUpload(const std::string &target, const std::string &version = "1.1")
    {
        auto caller = std::make_shared<RawPeer>(this->connect());
        caller->send("POST " + target + " HTTP/" + version + "\r\nHost: hall\r\nDamaskgate-Key: "
                     + Key + "\r\nContent-Length: " + std::to_string(UploadBytes) + "\r\n\r\n");
        auto sending = std::async(std::launch::async,
                                  [caller] { caller->send(std::string(UploadBytes, 'u')); });
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        // Until then the host has more to send than the connection to the endpoint takes.
        std::this_thread::sleep_for(DeliveryTime);
        return { std::move(caller), std::move(upstream), std::move(sending) };
    }

    /** Reads the response to @p upload, and ends its connection. */
    static WireMessage readResponse(Upload &upload)
    {
        WireMessage response = upload.caller->readResponse();
        upload.sending.wait();
        upload.caller->close();
        return response;
    }

    /** Expects the report of one endpoint. @return its outcome */
    Outcome takeOutcome()
    {
        EXPECT_TRUE(this->eventually([this] { return this->balancer.reports.size() == 1; }));
        return this->call([this] {
            const Outcome outcome = this->balancer.reports.at(0).outcome;
            this->balancer.reports.clear();
            return outcome;
        });
    }

    /** Waits for the end of the only request. @return the detail of its record */
    std::string takeDetail()
    {
        EXPECT_TRUE(this->eventually([this] { return this->observer.records.size() == 1; }));
        return this->call([this] { return this->observer.records.at(0).detail; });
    }

    static bool isWhole(const WireMessage &response)
    {
        return response.isComplete && response.status() == 200;
    }
};

using EarlyResponse_Tests = EarlyResponseFixture;

// Guards against a part of a body that the caller takes for the whole: the upload's failed write
// took the reset, and the reader of the response saw an orderly end of the connection.
TEST_F(EarlyResponse_Tests, Forward_ResetWhileTheUploadIsWritten_EndsVisiblyBroken)
{
    constexpr std::chrono::milliseconds Pauses[] { std::chrono::milliseconds(0), DeliveryTime };
    for (const EarlyResponse &early : EarlyResponses) {
        for (const char *target : { "/read/1", "/book/1" }) {
            for (const std::chrono::milliseconds pause : Pauses) {
                SCOPED_TRACE(std::string(early.name) + target + std::to_string(pause.count()));
                // [GIVEN] An upload that blocks
                Upload upload = this->startUpload(target);

                // [WHEN] The endpoint sends its response and resets the connection
                upload.upstream.send(early.text);
                std::this_thread::sleep_for(pause);
                reset(upload.upstream);

                // [THEN] The caller does not get a part as a whole response, and the endpoint
                // counts as failing
                const bool isExpected = early.end == End::Included;
                EXPECT_EQ(isWhole(readResponse(upload)), isExpected);
                EXPECT_EQ(this->takeOutcome(), isExpected ? Outcome::Answered : Outcome::BrokenOff);
                EXPECT_FALSE(this->second.hasPending());
            }
        }
    }
}

// Guards against the loss of early responses that are whole, and against belief in others. Both the
// data and the end of the connection are there before the host reads any of it.
TEST_F(EarlyResponse_Tests, Forward_EachEnd_OnlyWholeResponsesAreComplete)
{
    for (const EarlyResponse &early : EarlyResponses) {
        for (const ConnectionEnd &end : ConnectionEnds) {
            SCOPED_TRACE(std::string(early.name) + " " + end.name);
            // [GIVEN] An upload that blocks
            Upload upload = this->startUpload("/book/1");

            // [WHEN] The endpoint responds early and ends the connection
            this->call([&upload, &early, &end] {
                upload.upstream.send(early.text);
                end.end(upload.upstream);
            });

            // [THEN] The response is complete if it says so itself. Without a length it is complete
            // only if the endpoint has ended its side
            const bool isExpected =
                early.end == End::Included || (early.end == End::OfConnection && end.isOrderly);
            const WireMessage response = readResponse(upload);
            EXPECT_EQ(isWhole(response), isExpected);
            EXPECT_TRUE(!isExpected || response.body == Part);
            EXPECT_EQ(this->takeOutcome(), isExpected ? Outcome::Answered : Outcome::BrokenOff);
        }
    }
}

// Guards against a broken connection where a refusal is possible: the host knows before it sends
// anything that the response can't be whole.
TEST_F(EarlyResponse_Tests, Forward_NoLengthAndResetBeforeTheHeadIsRead_IsRefused)
{
    // [GIVEN] An upload that blocks
    Upload upload = this->startUpload("/book/1");

    // [WHEN] The host finds a response without a length together with a reset
    this->call([&upload] {
        upload.upstream.send(EarlyResponses[0].text);
        reset(upload.upstream);
    });

    // [THEN] The caller gets an error, and is told that the request has run
    const WireMessage response = readResponse(upload);
    EXPECT_EQ(response.status(), 502);
    EXPECT_EQ(response.field("Damaskgate-Verdict"), "ran");
    const std::string detail = this->takeDetail();
    EXPECT_NE(detail.find("reset"), std::string::npos) << detail;
}

// Guards against a part that a caller of HTTP/1.0 takes for the whole: it may lose a reset to its
// own upload as the host does.
TEST_F(EarlyResponse_Tests, Forward_NoLengthToOldCaller_IsSentWholeOrRefused)
{
    for (const ConnectionEnd &end : ConnectionEnds) {
        SCOPED_TRACE(end.name);
        // [GIVEN] An upload of a caller that can't decode chunks
        Upload upload = this->startUpload("/book/1", "1.0");

        // [WHEN] The endpoint responds early, without a length
        upload.upstream.send(EarlyResponses[0].text);
        std::this_thread::sleep_for(DeliveryTime);
        end.end(upload.upstream);

        // [THEN] The caller gets the whole response with its length, or an error
        const WireMessage response = readResponse(upload);
        EXPECT_TRUE(response.isComplete);
        EXPECT_EQ(response.status(), end.isOrderly ? 200 : 502);
        EXPECT_EQ(response.body == Part, end.isOrderly);
        EXPECT_NE(response.field("Content-Length"), "");
    }
}

// Guards against memory for a response without end that is not forwarded as it arrives, and against
// an endpoint that counts as failing since its response is long.
TEST_F(EarlyResponse_Tests, Forward_LongResponseWithoutLengthToOldCaller_IsRefused)
{
    constexpr std::size_t MaxKeptBytes = 65536; // documented for callers
    for (const std::size_t size : { MaxKeptBytes, MaxKeptBytes + 1 }) {
        SCOPED_TRACE(size);
        // [GIVEN] An upload of a caller that can't decode chunks
        Upload upload = this->startUpload("/book/1", "1.0");

        // [WHEN] The endpoint sends a whole response without a length
        upload.upstream.send(Ok + "\r\n" + std::string(size, 'p'));
        upload.upstream.closeSending();

        // [THEN] The caller gets it up to the limit, else an error. The endpoint has answered
        const WireMessage response = readResponse(upload);
        const bool isSent = size == MaxKeptBytes;
        EXPECT_EQ(response.status(), isSent ? 200 : 502);
        EXPECT_EQ(response.body.size() == size, isSent);
        EXPECT_EQ(response.field("Damaskgate-Verdict"), isSent ? "" : "ran");
        EXPECT_EQ(this->takeOutcome(), Outcome::Answered);
    }
}

// Guards against a download that breaks off unnoticed by a caller that can't decode chunks.
TEST_F(EarlyResponse_Tests, Forward_NoLengthToOldCallerWithoutAnUpload_ResetIsPassedOn)
{
    for (const bool isOrderly : { true, false }) {
        SCOPED_TRACE(isOrderly);
        // [GIVEN] A response without a length, of which a part has reached the caller
        RawPeer caller = this->connect();
        caller.send(std::string("GET /read/1 HTTP/1.0\r\nDamaskgate-Key: ") + Key + "\r\n\r\n");
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send("HTTP/1.1 200 OK\r\n\r\npart");
        ASSERT_TRUE(caller.readUntil("part"));

        // [WHEN] The endpoint ends the connection, in order or by a reset
        isOrderly ? upstream.close() : reset(upstream);

        // [THEN] The caller's connection ends in the same way
        EXPECT_EQ(caller.isResetByPeer(), !isOrderly);
    }
}
