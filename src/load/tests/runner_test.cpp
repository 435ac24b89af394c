#include "damaskgate/load/runner.h"

#include <atomic>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace damaskgate::load;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

/** Server whose look-up responses list its own address, and which echoes ids of other requests. */
class EchoServer
{
public:
    EchoServer() : acceptor(this->context, { asio::ip::make_address("127.0.0.1"), 0 })
    {
        asio::co_spawn(this->context, this->accept(), asio::detached);
        this->thread = std::thread([this] { this->context.run(); });
    }

    ~EchoServer()
    {
        this->context.stop();
        this->thread.join();
    }

    Address address() const
    {
        return { "127.0.0.1", this->acceptor.local_endpoint().port() };
    }

    std::function<void(const Request &, Response &)> adapt = [](const Request &, Response &) {
    };
    std::atomic<bool> refusesLookups { false };
    std::atomic<int> lookups { 0 };
    std::atomic<int> requests { 0 };

private:
    asio::awaitable<void> accept()
    {
        while (true) {
            tcp::socket socket = co_await this->acceptor.async_accept(asio::use_awaitable);
            asio::co_spawn(this->context, this->serve(std::move(socket)), asio::detached);
        }
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        boost::beast::tcp_stream stream(std::move(socket));
        boost::beast::flat_buffer buffer;
        while (true) {
            Request request;
            co_await http::async_read(stream, buffer, request, asio::use_awaitable);
            Response response = this->respondTo(request);
            co_await http::async_write(stream, response, asio::use_awaitable);
        }
    }

    Response respondTo(const Request &request)
    {
        Response response(http::status::ok, 11);
        if (request.target() == "/.damaskgate/v1/entries") {
            ++this->lookups;
            if (this->refusesLookups) {
                response.result(http::status::unauthorized);
                response.set("Damaskgate-Reason", "key-unknown");
                response.set("Damaskgate-Verdict", "not-run");
                response.prepare_payload();
                return response;
            }
            const nlohmann::json entry { { "address", "127.0.0.1" },
                                         { "port", this->address().port } };
            response.body() = nlohmann::json {
                { "ttl_seconds", 60 }, { "entries", { entry } }, { "operation_ticket", "ticket" }
            }.dump();
        } else {
            ++this->requests;
            response.set("X-Request-Id", request["X-Request-Id"]);
            this->adapt(request, response);
        }
        response.prepare_payload();
        return response;
    }

    asio::io_context context;
    tcp::acceptor acceptor;
    std::thread thread;
};

Experiment experimentFor(const EchoServer &server, bool isRepeatable)
{
    using namespace std::chrono_literals;
    Experiment experiment;
    experiment.isPoisson = false;
    experiment.timeout = 10s;
    experiment.maxInFlight = 100;
    experiment.entries = { server.address() };
    experiment.endpoints["s"] = { server.address() };
    experiment.workspaces = { { "w", "key", 1000, 1000, 2 } };
    experiment.routes = { { "r", "POST", "/r", "s", 10, isRepeatable } };
    experiment.phases = { { "p", 105ms, { { 0, 0, 100 } } } };
    return experiment;
}

nlohmann::json onlyStream(const RunReport &report)
{
    return report.toJson()["streams"].at(0);
}

} // namespace

TEST(Runner_Tests, Run_ThroughFleet_LooksUpOnceForEachCaller)
{
    // [GIVEN] An entry that serves all requests
    EchoServer server;

    // [WHEN] Ten requests are sent by two callers
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::ThroughFleet));

    // [THEN] Each response carries the id of its request
    EXPECT_EQ(stream["requests"], 10);
    EXPECT_EQ(stream["good"], 10);
    EXPECT_EQ(stream["wrong_answers"], 0);
    EXPECT_EQ(stream["unechoed_answers"], 0);
    EXPECT_GE(server.lookups, 2);
}

TEST(Runner_Tests, Run_Direct_SendsNoLookupAndNoKey)
{
    // [GIVEN] An endpoint that counts requests with a key
    EchoServer server;
    std::atomic<int> keys { 0 };
    server.adapt = [&keys](const Request &request, Response &) {
        keys += static_cast<int>(request.count(http::field::authorization));
    };

    // [WHEN] The load is sent directly to it
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::Direct));

    // [THEN] No key and no look-up reach it
    EXPECT_EQ(stream["good"], 10);
    EXPECT_EQ(server.lookups, 0);
    EXPECT_EQ(keys, 0);
}

TEST(Runner_Tests, Run_NonRepeatableRoute_SendsAnOperationKeyForEachRequest)
{
    // [GIVEN] An entry that checks operation keys
    EchoServer server;
    server.adapt = [](const Request &request, Response &response) {
        if (!request["Operation-Key"].starts_with("ticket/load-")) {
            response.result(http::status::bad_request);
        }
    };

    // [WHEN] Requests that must not be repeated are sent
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, false), RunMode::ThroughFleet));

    // [THEN] Each request has a valid operation key
    EXPECT_EQ(stream["statuses"], (nlohmann::json { { "200", 10 } }));
}

TEST(Runner_Tests, Run_AnswerOfAnotherRequest_IsCountedAsWrong)
{
    // [GIVEN] An entry that returns the id of another request
    EchoServer server;
    server.adapt = [](const Request &, Response &response) {
        response.set("X-Request-Id", "another");
    };

    // [WHEN] Requests are sent
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::ThroughFleet));

    // [THEN] No response counts as good
    EXPECT_EQ(stream["wrong_answers"], 10);
    EXPECT_EQ(stream["good"], 0);
}

TEST(Runner_Tests, Run_BodyOfAnotherRequest_IsCountedAsWrong)
{
    // [GIVEN] An endpoint that responds with the path of the previous request
    EchoServer server;
    std::string previous = "/r/load-0-0-";
    server.adapt = [&previous](const Request &request, Response &response) {
        response.erase("X-Request-Id");
        response.body() = std::exchange(previous, std::string(request.target()));
    };

    // [WHEN] Requests are sent
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::ThroughFleet));

    // [THEN] Each response is counted as belonging to another request
    EXPECT_EQ(stream["wrong_answers"], 10);
}

TEST(Runner_Tests, Run_RefusalWithinTheRate_IsCountedAsWrongful)
{
    // [GIVEN] An entry that refuses all
    EchoServer server;
    server.adapt = [](const Request &, Response &response) {
        response.result(http::status::too_many_requests);
        response.set("Damaskgate-Reason", "rate-limited");
        response.set("Damaskgate-Verdict", "not-run");
    };

    // [WHEN] Requests within the rate are sent
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::ThroughFleet));

    // [THEN] Each refusal is counted as wrongful, and no request is sent to another entry
    EXPECT_EQ(stream["wrongful_refusals"], 10);
    EXPECT_EQ(stream["attempts_elsewhere"], 0);
    EXPECT_EQ(server.requests, 10);
}

TEST(Runner_Tests, Run_NoEntryListens_EndsAsNotConnected)
{
    // [GIVEN] An experiment whose entry does not listen any more
    Experiment experiment;
    {
        EchoServer server;
        experiment = experimentFor(server, true);
    }

    // [WHEN] It runs
    const nlohmann::json stream = onlyStream(runExperiment(experiment, RunMode::ThroughFleet));

    // [THEN] Every request is reported as not connected
    EXPECT_EQ(stream["endings"], (nlohmann::json { { "not-connected", 10 } }));
}

TEST(Runner_Tests, Run_LookupIsRefused_ReportsTheReason)
{
    // [GIVEN] An entry that does not know the key
    EchoServer server;
    server.refusesLookups = true;

    // [WHEN] Requests are sent
    const nlohmann::json stream =
        onlyStream(runExperiment(experimentFor(server, true), RunMode::ThroughFleet));

    // [THEN] Each request is reported with the refusal of the look-up
    EXPECT_EQ(stream["refusals"], (nlohmann::json { { "key-unknown/not-run", 10 } }));
    EXPECT_EQ(server.requests, 0);
}
