#include "entryfixture.h"

#include <nlohmann/json.hpp>

#include "damaskgate/operations/operationtable.h"

using namespace damaskgate;
using namespace damaskgate::entry;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok";

} // namespace

/** Look-ups, operations and draining. */
class ServiceFixture : public EntryFixture
{
protected:
    ServiceFixture()
    {
        this->options.drainIdleTimeout = std::chrono::milliseconds(500);
        this->start();
    }

    std::string lookUpTicket(const std::string &fields)
    {
        RawPeer caller = this->connect();
        caller.send("GET /.damaskgate/v1/entries HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        return nlohmann::json::parse(caller.readResponse().body)["operation_ticket"];
    }

    RawPeer book(const std::string &operationKey)
    {
        return this->sendNew("POST /book/1", "Operation-Key: " + operationKey + "\r\n");
    }

    static const std::string KeyFields;
};

using Service_Tests = ServiceFixture;

const std::string ServiceFixture::KeyFields = "Damaskgate-Key: dgk-key-1\r\n";

TEST_F(Service_Tests, Lookup_WithOrWithoutKey_NamesEntriesAndTicket)
{
    for (const std::string &fields : { std::string {}, KeyFields }) {
        // [WHEN] A caller sends a look-up
        RawPeer caller = this->connect();
        caller.send("GET /.damaskgate/v1/entries HTTP/1.1\r\nHost: a\r\n" + fields + "\r\n");
        const WireMessage response = caller.readResponse();

        // [THEN] It gets entry hosts, their time to live and an operation ticket
        ASSERT_EQ(response.status(), 200);
        const auto document = nlohmann::json::parse(response.body);
        EXPECT_EQ(document["ttl_seconds"], 7);
        EXPECT_EQ(document["entries"][0]["host"], "ves-01");
        EXPECT_EQ(document["entries"][0]["port"], 8080);
        EXPECT_NE(document["operation_ticket"], "");
    }
}

TEST_F(Service_Tests, Lookup_UnknownKey_IsRefused)
{
    // [WHEN] A caller with an unknown key sends a look-up
    RawPeer caller = this->connect();
    caller.send("GET /.damaskgate/v1/entries HTTP/1.1\r\nHost: a\r\nDamaskgate-Key: x\r\n\r\n");

    // [THEN] It is refused
    EXPECT_EQ(caller.readResponse().status(), 401);
}

TEST_F(Service_Tests, Operation_Repeated_RunsOnceAndVerdictIsTrue)
{
    // [GIVEN] An operation that an endpoint is processing
    const std::string key = this->lookUpTicket(KeyFields) + "/order-7";
    RawPeer caller = this->book(key);
    RawPeer upstream = this->first.accept();
    EXPECT_EQ(upstream.readRequestHead().field("Operation-Key"), key);

    // [THEN] A repeated request is refused with verdict may-have-run
    const WireMessage running = this->book(key).readResponse();
    EXPECT_EQ(running.status(), 409);
    EXPECT_EQ(running.field("Damaskgate-Reason"), "operation-repeated");
    EXPECT_EQ(running.field("Damaskgate-Verdict"), "may-have-run");

    // [WHEN] The endpoint has responded
    upstream.send(OkResponse);
    EXPECT_EQ(caller.readResponse().status(), 201);

    // [THEN] A repeated request is refused with verdict ran and the status of the response
    const WireMessage ran = this->book(key).readResponse();
    EXPECT_EQ(ran.field("Damaskgate-Verdict"), "ran");
    EXPECT_NE(ran.body.find("201"), std::string::npos);
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Service_Tests, Operation_CallerLeftBeforeTheAnswer_IsNotRunAgain)
{
    // [GIVEN] An operation whose caller disconnected while it ran
    const std::string key = this->lookUpTicket(KeyFields) + "/order-7";
    RawPeer caller = this->book(key);
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    caller.close();
    EXPECT_TRUE(upstream.isClosedByPeer());
    ASSERT_TRUE(this->eventually([this] { return this->server->exchangeCount() == 0; }));

    // [THEN] A repeated request is refused with verdict may-have-run
    EXPECT_EQ(this->book(key).readResponse().field("Damaskgate-Verdict"), "may-have-run");
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Service_Tests, Operation_NotRun_MayRunAgain)
{
    // [GIVEN] An operation that was first refused before forwarding and then shed by the endpoints
    const std::string key = this->lookUpTicket(KeyFields) + "/order-7";
    this->call([this] { this->admission.isOpen = false; });
    EXPECT_EQ(this->book(key).readResponse().status(), 429);
    this->call([this] { this->admission.isOpen = true; });
    RawPeer shedCaller = this->book(key);
    for (RawEndpoint *endpoint : { &this->first, &this->second }) {
        RawPeer upstream = endpoint->accept();
        upstream.readRequestHead();
        upstream.send("HTTP/1.1 503 Busy\r\nUpstream-Shed: 1\r\nContent-Length: 0\r\n\r\n");
    }
    EXPECT_EQ(shedCaller.readResponse().field("Damaskgate-Verdict"), "not-run");

    // [WHEN] The caller repeats it
    RawPeer caller = this->book(key);
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send(OkResponse);

    // [THEN] It runs
    EXPECT_EQ(caller.readResponse().status(), 201);
}

TEST_F(Service_Tests, Operation_TicketOfOtherHost_NamesThatHost)
{
    // [GIVEN] A ticket of another host of the fleet
    operations::OperationTable other(
        { core::HostName("bre-01"), 3, "secret", std::chrono::minutes(5), 10 });
    const std::string ticket = other.issueTicket(core::WorkspaceName("parents"), this->clock.now());

    // [THEN] The request is not forwarded, and the refusal names the host of the ticket
    const WireMessage response = this->book(ticket + "/order-7").readResponse();
    EXPECT_EQ(response.status(), 409);
    EXPECT_EQ(response.field("Damaskgate-Reason"), "operation-elsewhere");
    EXPECT_EQ(response.field("Damaskgate-Verdict"), "may-have-run");
    EXPECT_EQ(response.field("Damaskgate-Host"), "bre-01");
    EXPECT_FALSE(this->first.hasPending());
}

TEST_F(Service_Tests, Drain_RunningAndNew_RunningEndsAndNewIsRefused)
{
    // [GIVEN] A request in progress and an idle connection
    RawPeer idle = this->sendNew("GET /.damaskgate/v1/entries");
    EXPECT_EQ(idle.readResponse().status(), 200);
    RawPeer caller = this->sendNew("GET /read/1");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();

    // [WHEN] The host drains
    bool isDrained = false;
    this->call([this, &isDrained] { this->server->drain([&isDrained] { isDrained = true; }); });

    // [THEN] New requests are refused as not run
    idle.send(request("GET /read/2"));
    const WireMessage refusal = idle.readResponse();
    EXPECT_EQ(refusal.field("Damaskgate-Reason"), "draining");
    EXPECT_EQ(refusal.field("Damaskgate-Verdict"), "not-run");
    EXPECT_EQ(refusal.field("Connection"), "close");
    EXPECT_THROW(this->connect(), boost::system::system_error);
    EXPECT_FALSE(this->call([&isDrained] { return isDrained; }));

    // [THEN] The request in progress gets its complete response
    upstream.send(OkResponse);
    const WireMessage response = caller.readResponse();
    EXPECT_EQ(response.body, "ok");
    EXPECT_EQ(response.field("Connection"), "close");
    idle.close();
    caller.close();
    EXPECT_TRUE(this->eventually([&isDrained] { return isDrained; }));
}

TEST_F(Service_Tests, Drain_SilentConnections_AreClosed)
{
    // [GIVEN] An idle connection whose caller stays silent
    RawPeer idle = this->sendNew("GET /.damaskgate/v1/entries");
    EXPECT_EQ(idle.readResponse().status(), 200);

    // [WHEN] The host drains
    bool isDrained = false;
    this->call([this, &isDrained] { this->server->drain([&isDrained] { isDrained = true; }); });

    // [THEN] The connection is closed after the idle timeout
    EXPECT_TRUE(idle.isClosedByPeer());
    idle.close();
    EXPECT_TRUE(this->eventually([&isDrained] { return isDrained; }));
}
