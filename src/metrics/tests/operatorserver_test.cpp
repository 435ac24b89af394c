#include "damaskgate/metrics/operatorserver.h"

#include <thread>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "damaskgate/metrics/registry.h"

using namespace damaskgate::metrics;
namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

using Response = http::response<http::string_body>;

class OperatorServer_Tests : public ::testing::Test
{
protected:
    void SetUp() override
    {
        this->registry.counter("requests_total", "Requests.").add(5);
        this->server.addStatus("revision", [] { return nlohmann::json(7); });
        this->server.setEvents([](std::size_t) {
            return std::vector<std::string> { "event=a", "event=b" };
        });
        const auto listening = this->server.listen("127.0.0.1", 0);
        ASSERT_TRUE(listening);
        this->port = *listening;
        this->thread = std::thread([this] { this->context.run(); });
    }

    void TearDown() override
    {
        asio::post(this->context, [this] { this->server.close(); });
        this->thread.join();
    }

    Response sendRequest(http::verb method, const std::string &target)
    {
        asio::io_context clientContext;
        boost::beast::tcp_stream stream(clientContext);
        stream.connect({ asio::ip::make_address("127.0.0.1"), this->port });
        http::request<http::empty_body> request(method, target, 11);
        request.keep_alive(false);
        http::write(stream, request);
        boost::beast::flat_buffer buffer;
        Response response;
        http::read(stream, buffer, response);
        return response;
    }

    asio::io_context context;
    Registry registry;
    OperatorServer server { this->context, this->registry };
    std::uint16_t port = 0;
    std::thread thread;
};

} // namespace

TEST_F(OperatorServer_Tests, Get_EachPath_FollowsTheTable)
{
    // [GIVEN] Requests with the expected status and part of the body
    struct Row
    {
        http::verb method;
        const char *target;
        unsigned status;
        const char *expectedText;
    };
    const Row rows[] = {
        { http::verb::get, "/metrics", 200, "requests_total 5\n" },
        { http::verb::get, "/status", 200, "\"revision\": 7" },
        { http::verb::get, "/events?x=1", 200, "event=a\nevent=b\n" },
        { http::verb::get, "/other", 404, "/metrics" },
        { http::verb::post, "/metrics", 405, "GET" },
    };
    for (const Row &row : rows) {
        // [WHEN] An operator sends the request
        const Response response = this->sendRequest(row.method, row.target);

        // [THEN] The response matches the table
        EXPECT_EQ(response.result_int(), row.status) << row.target;
        EXPECT_NE(response.body().find(row.expectedText), std::string::npos) << response.body();
    }
}

TEST_F(OperatorServer_Tests, Listen_AddressInUse_Fails)
{
    // [GIVEN] A second server, and a port that the first one listens on
    OperatorServer second(this->context, this->registry);

    // [WHEN] The second server tries to listen on this port
    const auto result = second.listen("127.0.0.1", this->port);

    // [THEN] It fails, and the error names the address
    ASSERT_FALSE(result);
    EXPECT_NE(result.error().detail.find("127.0.0.1"), std::string::npos);
}
