#include <malloc.h>

#include <future>
#include <vector>

#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;

namespace {

constexpr std::size_t SlowReaders = 100;
// A host of 160 MB may spend a tenth of its memory on the downloads of as many slow readers.
constexpr std::size_t MaxBytesPerDownload = 160UL * 1024 * 1024 / 10 / SlowReaders;
constexpr std::size_t DownloadBytes = 64UL * 1024 * 1024; // more than the socket buffers hold

std::string sizedHead(std::size_t size)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

/** A complete response whose body is "catalogue", in one way to delimit it. */
struct FramingCase
{
    const char *name;
    std::string response;
};

const FramingCase FramingCases[] {
    { "Sized", sizedHead(9) + "catalogue" },
    { "Chunked",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncata\r\n5\r\nlogue\r\n0\r\n\r\n" },
};

std::size_t allocatedBytes()
{
    return ::mallinfo2().uordblks;
}

} // namespace

/** Large responses: how they end, and what they cost while the caller reads slowly. */
class DownloadFixture : public EntryFixture
{
protected:
    DownloadFixture()
    {
        // allocatedBytes() sees the memory of one arena only.
        ::mallopt(M_ARENA_MAX, 1);
        this->start();
    }

    /** Accepts a request at the first endpoint and sends @p response. */
    RawPeer respond(std::string_view response)
    {
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        upstream.send(response);
        return upstream;
    }

    /** Closes the connection of @p upstream with a reset. */
    static void reset(RawPeer &upstream)
    {
        upstream.stream().set_option(boost::asio::socket_base::linger(true, 0));
        upstream.close();
    }
};

using Download_Tests = DownloadFixture;

// Guards against a truncated download that the caller takes for a whole one.
TEST_F(Download_Tests, Response_CutAtEachByte_IsNeverComplete)
{
    // [GIVEN] Requests that are sent to one endpoint only
    auto settings = makeSettings();
    settings->routes.at(core::RouteName("read")).maxAttempts = 1;
    this->call([this, &settings] { this->store.replace(settings); });
    for (const FramingCase &framing : FramingCases) {
        for (std::size_t size = 0; size < framing.response.size(); ++size) {
            SCOPED_TRACE(framing.name + std::string(" cut at ") + std::to_string(size));

            // [WHEN] The response ends before its last byte
            RawPeer caller = this->sendNew("GET /read/1");
            this->respond(framing.response.substr(0, size)).close();

            // [THEN] The caller gets an error or sees that the response is incomplete
            const WireMessage response = caller.readResponse();
            EXPECT_TRUE(!response.isComplete || response.status() == 502);
        }
    }
}

TEST_F(Download_Tests, Response_EndsWithItsConnection_IsCompleteUnlessReset)
{
    const bool isReset[] { false, true };
    for (const bool wasReset : isReset) {
        SCOPED_TRACE(wasReset);
        // [GIVEN] A response without a length, which ends with its connection
        RawPeer caller = this->sendNew("GET /read/1");
        RawPeer upstream = this->respond("HTTP/1.1 200 OK\r\n\r\ncatalogue");
        EXPECT_TRUE(caller.readUntil("catalogue"));

        // [WHEN] The connection ends, orderly or by a reset
        wasReset ? reset(upstream) : upstream.close();

        // [THEN] Only the orderly end completes the response
        EXPECT_EQ(caller.readUntil("0\r\n\r\n"), !wasReset);
    }
}

TEST_F(Download_Tests, Response_BreaksOffAfterItsFirstBytes_IsNotSentAgain)
{
    // [GIVEN] A repeatable request whose response has begun to reach the caller
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->respond(sizedHead(DownloadBytes) + "cata");
    EXPECT_TRUE(caller.readUntil("cata"));

    // [WHEN] The endpoint breaks off
    upstream.close();

    // [THEN] No other endpoint gets the request, and the fault is reported
    EXPECT_FALSE(caller.readUntil("anything"));
    ASSERT_TRUE(this->eventually([this] { return this->balancer.reports.size() == 1; }));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::BrokenOff);
    EXPECT_FALSE(this->second.hasPending());
}

TEST_F(Download_Tests, SlowReaders_ManyAtOnce_MemoryIsBoundedAndEndpointsAreHeldBack)
{
    // [GIVEN] Callers that do not read their downloads
    const std::size_t before = this->call([] { return allocatedBytes(); });
    std::vector<RawPeer> callers;
    std::vector<RawPeer> upstreams;
    for (std::size_t i = 0; i < SlowReaders; ++i) {
        callers.push_back(this->sendNew("GET /read/1"));
        upstreams.push_back(this->respond(sizedHead(DownloadBytes)));
    }

    // [WHEN] The endpoints send until they are blocked
    std::vector<std::future<std::size_t>> sent;
    sent.reserve(SlowReaders);
    for (RawPeer &upstream : upstreams) {
        sent.push_back(std::async(
            std::launch::async, [&upstream] { return upstream.sendUntilBlocked(DownloadBytes); }));
    }

    // [THEN] All are held back, and a download takes little memory
    for (std::future<std::size_t> &size : sent) {
        EXPECT_LT(size.get(), DownloadBytes);
    }
    const std::size_t after = this->call([] { return allocatedBytes(); });
    RecordProperty("bytes_per_download", std::to_string((after - before) / SlowReaders));
    EXPECT_LT(after - before, MaxBytesPerDownload * SlowReaders);
}

TEST_F(Download_Tests, Drain_DownloadInProgress_IsFinished)
{
    // [GIVEN] A download of which a part has been delivered
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->respond(sizedHead(9) + "cata");

    // [WHEN] The host drains and the endpoint sends the rest
    bool isDrained = false;
    this->call([this, &isDrained] { this->server->drain([&isDrained] { isDrained = true; }); });
    upstream.send("logue");

    // [THEN] The caller gets the whole body before the host has drained
    const WireMessage response = caller.readResponse();
    EXPECT_TRUE(response.isComplete);
    EXPECT_EQ(response.body, "catalogue");
    caller.close();
    EXPECT_TRUE(this->eventually([&isDrained] { return isDrained; }));
}

TEST_F(Download_Tests, Stop_DownloadsInProgress_EndVisiblyIncomplete)
{
    // [GIVEN] Downloads that lack their last bytes when the grace time of the host ends
    std::vector<RawPeer> callers;
    std::vector<RawPeer> upstreams;
    for (const FramingCase &framing : FramingCases) {
        const std::string_view response = framing.response;
        callers.push_back(this->sendNew("GET /read/1"));
        upstreams.push_back(this->respond(response.substr(0, response.size() - 1)));
        EXPECT_TRUE(callers.back().readUntil("cata"));
    }

    // [WHEN] The host stops
    this->call([this] { this->server->stop(); });

    // [THEN] The callers see that the responses are incomplete
    for (RawPeer &caller : callers) {
        EXPECT_FALSE(caller.readUntil("logue\r\n0\r\n\r\n"));
    }
}
