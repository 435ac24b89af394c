#include <optional>
#include <thread>

#include <boost/asio/steady_timer.hpp>

#include "entryfixture.h"

using namespace damaskgate;
using namespace damaskgate::entry;

namespace {

constexpr std::string_view OkResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::chrono::milliseconds ShortTimeout { 200 };
constexpr std::chrono::milliseconds BeyondTimeouts { 700 }; //!< the timeout and two sweeps
constexpr std::chrono::milliseconds DeliveryTime { 20 };
constexpr std::size_t BeyondReadAhead = 100000;

} // namespace

/** Events on a host while an endpoint is at work on a request, or while a request arrives. */
class InterruptionFixture : public EntryFixture
{
protected:
    InterruptionFixture()
    {
        this->servingGate = &this->gate;
    }

    /** A request that the first endpoint has received. */
    struct Work
    {
        RawPeer caller;
        RawPeer upstream;
    };

    Work startWork(const std::string &line)
    {
        RawPeer caller = this->sendNew(line);
        RawPeer upstream = this->first.accept();
        upstream.readRequestHead();
        return { std::move(caller), std::move(upstream) };
    }

    void startWithShortTimeouts()
    {
        this->options.keepAliveTimeout = ShortTimeout;
        this->options.headerTimeout = ShortTimeout;
        this->start();
    }

    FakeServingGate gate;
};

class Interruption_Tests : public InterruptionFixture
{};

TEST_F(Interruption_Tests, Change_EndpointAtWork_AnswerIsWaitedFor)
{
    // [GIVEN] Changes after which the same request would be refused or sent elsewhere
    this->start();
    const auto replace = [this](const std::function<void(settings::Settings &)> &edit) {
        auto next = makeSettings();
        edit(*next);
        this->store.replace(next);
    };
    const std::pair<const char *, std::function<void()>> changes[] {
        { "route gone",
          [&] {
              replace([](auto &next) { next.routes.clear(); });
          } },
        { "key withdrawn",
          [&] {
              replace([](auto &next) { next.workspaces.clear(); });
          } },
        { "service of the route",
          [&] {
              replace([](auto &next) {
                  next.routes[core::RouteName("read")].service = core::ServiceName("other");
              });
          } },
        { "timeout of the route",
          [&] {
              replace([](auto &next) {
                  next.routes[core::RouteName("read")].timeout = std::chrono::milliseconds(1);
              });
          } },
        { "data too old",
          [&] {
              this->gate.isOpen = false;
          } },
        { "limit of the workspace",
          [&] {
              this->admission.isOpen = false;
          } },
        { "endpoints gone",
          [&] {
              this->balancer.endpoints.clear();
          } },
    };
    const auto endpoints = this->balancer.endpoints;
    for (const auto &[name, change] : changes) {
        for (const char *line : { "GET /read/1", "POST /book/1" }) {
            SCOPED_TRACE(std::string(name) + ", " + line);
            this->call([&] {
                this->store.replace(makeSettings());
                this->gate.isOpen = true;
                this->admission.isOpen = true;
                this->balancer.endpoints = endpoints;
            });
            Work work = this->startWork(line);

            // [WHEN] The change arrives while an endpoint is at work, and the endpoint answers
            this->call([&change] { change(); });
            std::this_thread::sleep_for(DeliveryTime);
            work.upstream.send(OkResponse);

            // [THEN] The caller gets the answer
            EXPECT_EQ(work.caller.readResponse().body, "ok");
            work.upstream.close();
        }
    }
}

TEST_F(Interruption_Tests, IdleAndHeaderTimeout_EndpointAtWork_AnswerIsWaitedFor)
{
    // [GIVEN] A request at which an endpoint is at work for longer than the timeouts of a
    // connection
    this->startWithShortTimeouts();
    Work work = this->startWork("GET /read/1");

    // [WHEN] The timeouts pass and the endpoint answers
    std::this_thread::sleep_for(BeyondTimeouts);
    work.upstream.send(OkResponse);

    // [THEN] The caller gets the answer
    EXPECT_EQ(work.caller.readResponse().body, "ok");
}

// Guards against a close without an answer: the timeout of an idle connection discarded a request
// that had arrived before it was acted upon.
TEST_F(Interruption_Tests, IdleTimeout_RequestArrivesBeforeTheCheck_IsServed)
{
    // [GIVEN] An idle connection on a host whose event loop is held up beyond the idle timeout
    this->startWithShortTimeouts();
    RawPeer caller = this->connect();
    ASSERT_TRUE(this->eventually([this] { return this->server->connectionCount() == 1; }));
    boost::asio::steady_timer timer(this->ioContext);

    // [WHEN] A request arrives just before the host checks the timeouts
    this->call([&] {
        timer.expires_after(std::chrono::milliseconds(0));
        timer.async_wait([&caller](const boost::system::error_code & /*error*/) {
            caller.send(request("GET /read/1"));
            std::this_thread::sleep_for(DeliveryTime);
        });
        std::this_thread::sleep_for(BeyondTimeouts);
    });

    // [THEN] It is served
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send(OkResponse);
    EXPECT_EQ(caller.readResponse().body, "ok");
}

// Guards against a connection without timeouts: once one had passed, none applied any more.
TEST_F(Interruption_Tests, IdleTimeout_HeaderBeginsBeforeTheCheck_HeaderTimeoutApplies)
{
    // [GIVEN] An idle connection
    this->startWithShortTimeouts();
    RawPeer caller = this->connect();
    ASSERT_TRUE(this->eventually([this] { return this->server->connectionCount() == 1; }));

    // [WHEN] A header begins while the event loop is held up beyond the idle timeout
    this->call([&caller] {
        std::this_thread::sleep_for(BeyondTimeouts);
        caller.send("GET /read/1 HTTP/1.1\r\n");
        std::this_thread::sleep_for(DeliveryTime);
    });

    // [THEN] It gets a request timeout, and the connection closes
    EXPECT_EQ(caller.readResponse().status(), 408);
    EXPECT_TRUE(caller.isClosedByPeer());
}

TEST_F(Interruption_Tests, Pipelining_BeyondTheReadAheadLimit_AnswerIsWaitedFor)
{
    // [GIVEN] A request at which an endpoint is at work
    this->start();
    Work work = this->startWork("GET /read/1");

    // [WHEN] More bytes follow on its connection than the host reads ahead
    work.caller.send(std::string(BeyondReadAhead, 'x'));
    std::this_thread::sleep_for(DeliveryTime);
    work.upstream.send(OkResponse);

    // [THEN] The caller gets the answer
    EXPECT_EQ(work.caller.readResponse().body, "ok");
}

TEST_F(Interruption_Tests, HalfClose_EndpointAtWork_CountsAsDisconnect)
{
    // [GIVEN] A request at which an endpoint is at work
    this->start();
    Work work = this->startWork("GET /read/1");

    // [WHEN] The caller closes its sending side
    work.caller.closeSending();

    // [THEN] The work is cancelled, and the host sends no answer of its own
    EXPECT_TRUE(work.upstream.isClosedByPeer());
    EXPECT_TRUE(work.caller.isClosedByPeer());
}

TEST_F(Interruption_Tests, Drain_EndpointAtWorkForLongerThanTheIdleTimeout_AnswerIsWaitedFor)
{
    // [GIVEN] A request at which an endpoint is at work
    this->options.drainIdleTimeout = ShortTimeout;
    this->start();
    Work work = this->startWork("GET /read/1");

    // [WHEN] The host drains, and the endpoint answers later than the idle timeout
    this->call([this] {
        this->server->disableKeepAlive();
        this->server->drain([] {});
    });
    std::this_thread::sleep_for(BeyondTimeouts);
    work.upstream.send(OkResponse);

    // [THEN] The caller gets the answer
    EXPECT_EQ(work.caller.readResponse().body, "ok");
}

TEST_F(Interruption_Tests, Stop_EndpointAtWork_ConnectionClosesWithoutAStatus)
{
    // [GIVEN] A request at which an endpoint is at work
    this->start();
    Work work = this->startWork("GET /read/1");

    // [WHEN] The grace time of the host ends
    this->call([this] { this->server->stop(); });

    // [THEN] The host sends no answer of its own
    EXPECT_TRUE(work.caller.isClosedByPeer());
    EXPECT_TRUE(work.upstream.isClosedByPeer());
}

// Guards against a part that looks whole: a response without length ended with a regular close.
TEST_F(Interruption_Tests, Stop_ResponseThatEndsWithItsConnection_IsReset)
{
    // [GIVEN] A response in progress whose end the caller knows by the end of the connection
    this->start();
    RawPeer caller = this->connect();
    caller.send("GET /read/1 HTTP/1.0\r\nHost: hall\r\nDamaskgate-Key: " + std::string(Key)
                + "\r\n\r\n");
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ncata\r\n");
    ASSERT_TRUE(caller.readUntil("cata"));

    // [WHEN] The host stops
    this->call([this] { this->server->stop(); });

    // [THEN] The caller sees that the response is incomplete
    EXPECT_TRUE(caller.isResetByPeer());
}

TEST_F(Interruption_Tests, Stop_ResponseWrittenButNotRead_ArrivesWhole)
{
    // [GIVEN] A response that was written to a caller that does not read yet
    this->start();
    const std::string body(100000, 'x');
    RawPeer caller = this->connect();
    caller.stream().set_option(boost::asio::socket_base::receive_buffer_size(4096));
    caller.send(request("GET /read/1", "Connection: close\r\n"));
    RawPeer upstream = this->first.accept();
    upstream.readRequestHead();
    upstream.send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                  + body);
    ASSERT_TRUE(this->eventually([this] { return this->server->exchangeCount() == 0; }));

    // [WHEN] The host stops
    this->call([this] { this->server->stop(); });

    // [THEN] The caller gets the whole response
    const WireMessage response = caller.readResponse();
    EXPECT_TRUE(response.isComplete);
    EXPECT_EQ(response.body.size(), body.size());
}

// Guards against a reset without an answer: a host that stopped when no request was in progress
// left those unread that had arrived while its event loop was held up.
TEST_F(Interruption_Tests, IsIdle_RequestArrivedButNotRead_IsFalse)
{
    // [GIVEN] Connections that have been used, are new, and wait to be accepted
    this->start();
    RawPeer used = this->sendNew("GET /.damaskgate/v1/entries");
    EXPECT_EQ(used.readResponse().status(), 200);
    RawPeer unused = this->connect();
    ASSERT_TRUE(this->eventually([this] { return this->server->connectionCount() == 2; }));
    EXPECT_TRUE(this->call([this] { return this->server->isIdle(); }));

    for (RawPeer *caller : { static_cast<RawPeer *>(nullptr), &used, &unused }) {
        SCOPED_TRACE(caller == nullptr ? "waits to be accepted" : "accepted");

        // [WHEN] A request arrives while the event loop is held up, and the host drains
        std::optional<RawPeer> waiting;
        const bool isIdle = this->call([&] {
            if (caller == nullptr) {
                waiting.emplace(this->sendNew("GET /read/1"));
            } else {
                caller->send(request("GET /read/1"));
            }
            std::this_thread::sleep_for(DeliveryTime);
            this->server->drain([] {});
            return this->server->isIdle();
        });

        // [THEN] The host is not idle until it has answered
        EXPECT_FALSE(isIdle);
        RawPeer &answered = caller == nullptr ? *waiting : *caller;
        EXPECT_EQ(answered.readResponse().field("Damaskgate-Reason"), "draining");
        EXPECT_TRUE(this->eventually([this] { return this->server->isIdle(); }));
    }
}
