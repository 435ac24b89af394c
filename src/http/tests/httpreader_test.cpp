#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "damaskgate/http/httpreader.h"
#include "damaskgate/http/queryserver.h"

namespace damaskgate::http {

class HttpReader_Tests : public testing::Test
{
protected:
    core::Result<HttpResponse> get(const std::string &target)
    {
        std::optional<core::Result<HttpResponse>> result;
        boost::asio::co_spawn(
            this->context, this->reader.get(target),
            [&result](const std::exception_ptr & /*error*/, core::Result<HttpResponse> value) {
                result = std::move(value);
            });
        while (!result) {
            this->context.run_one();
        }
        return std::move(*result);
    }

    boost::asio::io_context context;
    QueryServer server { this->context, [](const Query &query) {
                            return QueryResponse {
                                200, "text/plain", std::string(parameterOf(query.parameters, "a"))
                            };
                        } };
    HttpReader reader { this->context, { std::chrono::milliseconds(100), 1000 } };
};

TEST_F(HttpReader_Tests, Get_TwiceOnOneConnection_IsAnswered)
{
    this->reader.setServer("127.0.0.1", this->server.listen("127.0.0.1", 0).value());
    EXPECT_EQ(this->get("/x?a=1").value().body(), "1");
    EXPECT_EQ(this->get("/x?b=2&a=3").value().body(), "3");
}

TEST_F(HttpReader_Tests, Get_SilentServer_FailsAfterTheTimeout)
{
    // [GIVEN] A server that accepts connections and never responds
    boost::asio::ip::tcp::acceptor silent(this->context,
                                          { boost::asio::ip::make_address("127.0.0.1"), 0 });
    this->reader.setServer("127.0.0.1", silent.local_endpoint().port());

    // [THEN] The request fails with an error
    const auto response = this->get("/");
    ASSERT_FALSE(response);
    EXPECT_EQ(response.error().reason, core::Reason::PlatformUnavailable);
}

TEST_F(HttpReader_Tests, Get_NoServer_Fails)
{
    this->reader.setServer("127.0.0.1", 1);
    EXPECT_FALSE(this->get("/"));
    this->reader.setServer("no address", 1);
    EXPECT_FALSE(this->get("/"));
}

TEST(QueryServer_Tests, ParameterOf_OnlyWholeNames)
{
    EXPECT_EQ(parameterOf("after=3&x=4", "after"), "3");
    EXPECT_EQ(parameterOf("xafter=3", "after"), "");
    EXPECT_EQ(parameterOf("after", "after"), "");
    EXPECT_EQ(parameterOf("", "after"), "");
}

} // namespace damaskgate::http
