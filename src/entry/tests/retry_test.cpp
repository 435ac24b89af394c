#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;
using balance::Outcome;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::string_view ErrorResponse =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\nbad";

} // namespace

class RetryFixture : public EntryFixture
{
protected:
    /** Takes a request at @p endpoint and answers it. */
    static RawPeer respond(RawEndpoint &endpoint, std::string_view response)
    {
        RawPeer upstream = endpoint.accept();
        upstream.readRequestHead();
        upstream.send(response);
        return upstream;
    }

    bool hasReports(std::size_t count)
    {
        return this->eventually([this, count] { return this->balancer.reports.size() == count; });
    }
};

using Retry_Tests = RetryFixture;

TEST_F(Retry_Tests, ServerError_WorkThatMayRepeat_IsTriedElsewhere)
{
    // [GIVEN] A first endpoint in a bad spell
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer failing = respond(this->first, ErrorResponse);
    RawPeer healthy = respond(this->second, OkResponse);

    // [THEN] The caller gets the answer of the second, and the first is reported
    EXPECT_EQ(caller.readResponse().body, "ok");
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::ServerError);
}

TEST_F(Retry_Tests, ServerError_WorkThatMayNotRepeat_IsDelivered)
{
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer failing = respond(this->first, ErrorResponse);
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.status(), 500);
    EXPECT_EQ(response.body, "bad");
    EXPECT_FALSE(this->second.hasPending());
}

TEST_F(Retry_Tests, ServerError_LastAttempt_IsDelivered)
{
    // [GIVEN] A route that allows one endpoint for each request
    auto settings = makeSettings();
    settings->routes.at(core::RouteName("read")).maxAttempts = 1;
    this->store.replace(settings);
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer failing = respond(this->first, ErrorResponse);

    // [THEN] The endpoint's own answer is not replaced
    EXPECT_EQ(caller.readResponse().body, "bad");
    EXPECT_FALSE(this->second.hasPending());
}

TEST_F(Retry_Tests, ServerError_MethodThatIsNotIdempotent_IsDeliveredUnlessTheRouteSaysSo)
{
    // [GIVEN] A repeatable route and a POST
    this->start();
    {
        RawPeer caller = this->sendNew("POST /read/1");
        RawPeer failing = respond(this->first, ErrorResponse);

        // [THEN] The endpoint's answer is delivered
        EXPECT_EQ(caller.readResponse().body, "bad");
    }

    // [WHEN] The route is repeatable whatever the method
    auto settings = makeSettings();
    settings->routes.at(core::RouteName("read")).isRepeatableByAnyMethod = true;
    this->call([this, settings] { this->store.replace(settings); });
    RawPeer caller = this->sendNew("POST /read/1");
    RawPeer failing = respond(this->first, ErrorResponse);
    RawPeer healthy = respond(this->second, OkResponse);

    // [THEN] It is tried elsewhere
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(Retry_Tests, ServerError_RouteNoLongerRepeatable_IsNotSentAgain)
{
    // [GIVEN] A request that fails while the route is about to change
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer failing = this->first.accept();
    failing.readRequestHead();
    auto settings = makeSettings();
    settings->routes.at(core::RouteName("read")).isRepeatable = false;
    this->call([this, settings] { this->store.replace(settings); });
    failing.send(ErrorResponse);

    // [THEN] No second endpoint gets it, and the refusal tells that it ran
    EXPECT_EQ(caller.readResponse().field("Damaskgate-Verdict"), "ran");
    EXPECT_FALSE(this->second.hasPending());
}

TEST_F(Retry_Tests, LateAnswer_WorkThatMayRepeat_IsGivenUpForAnotherEndpoint)
{
    // [GIVEN] An endpoint that hangs, where answers usually come within some milliseconds
    this->balancer.lateThreshold = milliseconds(50);
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer hanging = this->first.accept();
    hanging.readRequestHead();
    RawPeer healthy = respond(this->second, OkResponse);

    // [THEN] Another one answers, the first is told by the closed connection, and it is reported
    EXPECT_EQ(caller.readResponse().body, "ok");
    EXPECT_TRUE(hanging.isClosedByPeer());
    ASSERT_TRUE(this->hasReports(2));
    EXPECT_EQ(this->balancer.reports[0].outcome, Outcome::Timeout);
}

TEST_F(Retry_Tests, LateAnswer_GivenUp_ResetsTheConnection)
{
    // [GIVEN] An endpoint whose connection is held up, as by a partition
    this->balancer.lateThreshold = milliseconds(50);
    this->start();
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer hanging = this->first.accept();
    RawPeer healthy = respond(this->second, OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");

    // [THEN] What it has not taken yet is dropped, and does not arrive when the partition heals
    hanging.readRequestHead();
    EXPECT_TRUE(hanging.isResetByPeer());
}

TEST_F(Retry_Tests, LateAnswer_WorkThatMayNotRepeat_IsWaitedFor)
{
    // [GIVEN] The same, for a booking
    this->balancer.lateThreshold = milliseconds(50);
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer late = this->first.accept();
    late.readRequestHead();
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_FALSE(this->second.hasPending());
    late.send(OkResponse);

    // [THEN] Its answer is delivered
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(Retry_Tests, StrayAnswer_BeforeTheOwnOne_IsDiscarded)
{
    // [GIVEN] An answer to another exchange in front of the own one
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = this->first.accept();
    const std::string own = upstream.readRequestHead().field("Damaskgate-Exchange");
    upstream.send("HTTP/1.1 200 OK\r\nDamaskgate-Exchange: 999\r\nContent-Length: 5\r\n\r\nother");
    upstream.send("HTTP/1.1 200 OK\r\nDamaskgate-Exchange: " + own
                  + "\r\nContent-Length: 2\r\n\r\nok");

    // [THEN] The caller gets its own
    EXPECT_EQ(caller.readResponse().body, "ok");
}

TEST_F(Retry_Tests, Signature_MissingOnASuccess_IsNoAnswer)
{
    // [GIVEN] A dialect in which endpoints sign their successes
    this->options.dialect.signatureField = "Endpoint-Signature";
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    RawPeer upstream = respond(this->first, OkResponse);

    // [THEN] An unsigned one is not passed on as a success
    EXPECT_EQ(caller.readResponse().status(), 502);
}

TEST_F(Retry_Tests, StatusVerdict_NothingReached_IsUnavailable)
{
    // [GIVEN] A dialect in which the status alone tells that a request has not run
    this->options.dialect.isVerdictInStatus = true;
    this->first.close();
    this->second.close();
    this->start();

    // [THEN] Work that reached no endpoint may safely be sent again by its caller
    RawPeer caller = this->sendNew("POST /book/1");
    const WireMessage refusal = caller.readResponse();
    EXPECT_EQ(refusal.status(), 503);
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "not-run");
}

TEST_F(Retry_Tests, StatusVerdict_MayHaveRun_PromisesNothing)
{
    // [GIVEN] The same dialect, and an endpoint that breaks off
    this->options.dialect.isVerdictInStatus = true;
    this->start();
    RawPeer caller = this->sendNew("POST /book/1");
    {
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
    }

    // [THEN] The status is not one of those that promise
    EXPECT_EQ(caller.readResponse().status(), 502);
}

TEST_F(Retry_Tests, Leaving_AnswersEndTheirConnections)
{
    this->start();
    this->call([this] { this->server->disableKeepAlive(); });
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = respond(this->first, OkResponse);
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.body, "ok");
    EXPECT_EQ(response.field("Connection"), "close");
}

TEST_F(Retry_Tests, AbsoluteForm_AuthorityGoesBeforeTheHostField)
{
    // [GIVEN] Routes of one name only
    auto settings = makeSettings();
    settings->routes.at(core::RouteName("open")).host = "other.example";
    this->store.replace(settings);
    this->start();

    // [WHEN] The target names that host and the field another
    RawPeer caller = this->connect();
    caller.send("GET http://Other.example:80/open/1 HTTP/1.1\r\nHost: hall\r\n\r\n");
    RawPeer upstream = respond(this->first, OkResponse);

    // [THEN] The target decides, and without it the route is not found
    EXPECT_EQ(caller.readResponse().body, "ok");
    RawPeer other = this->connect();
    other.send("GET /open/1 HTTP/1.1\r\nHost: hall\r\n\r\n");
    EXPECT_EQ(other.readResponse().status(), 404);
}
