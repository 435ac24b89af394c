#include <array>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "damaskgate/http/httpreader.h"
#include "damaskgate/http/queryserver.h"

namespace damaskgate::http {

namespace {

/** Sends a response body of one byte per pause. */
class DripServer
{
public:
    DripServer(boost::asio::io_context &context, int parts, std::chrono::milliseconds pause)
        : acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 }), socket(context),
          timer(context), partsLeft(parts), pause(pause)
    {
        this->head = "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(parts) + "\r\n\r\n";
        this->acceptor.async_accept(
            this->socket, [this](const boost::system::error_code & /*error*/) { this->send(); });
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    void send()
    {
        boost::system::error_code error;
        boost::asio::write(this->socket, boost::asio::buffer(this->head + "x"), error);
        this->head.clear();
        if (error || --this->partsLeft == 0) {
            return;
        }
        this->timer.expires_after(this->pause);
        this->timer.async_wait([this](const boost::system::error_code &waitError) {
            if (!waitError) {
                this->send();
            }
        });
    }

    boost::asio::ip::tcp::acceptor acceptor;
    boost::asio::ip::tcp::socket socket;
    boost::asio::steady_timer timer;
    std::string head;
    int partsLeft;
    std::chrono::milliseconds pause;
};

/** Sends a text and then zeros, until the peer closes the connection or Limit is reached. */
class Flood
{
public:
    static constexpr std::size_t Limit = 64UL * 1024 * 1024; // more than all buffers on the way

    Flood(boost::asio::io_context &context, std::string head)
        : socket(context), head(std::move(head)), zeros(65536, '0')
    {}

    void start()
    {
        boost::system::error_code error;
        boost::asio::write(this->socket, boost::asio::buffer(this->head), error);
        this->send();
    }

    std::size_t sentBytes() const
    {
        return this->sent;
    }

    bool isEnded() const
    {
        return this->hasEnded;
    }

    boost::asio::ip::tcp::socket socket;

private:
    void send()
    {
        this->socket.async_write_some(
            boost::asio::buffer(this->zeros),
            [this](const boost::system::error_code &error, std::size_t size) {
                this->sent += size;
                this->hasEnded = error || this->sent >= Limit;
                if (!this->hasEnded) {
                    this->send();
                }
            });
    }

    std::string head;
    std::string zeros;
    std::size_t sent = 0;
    bool hasEnded = false;
};

constexpr std::string_view ChunkWithoutEnd = "Transfer-Encoding: chunked\r\n\r\n4;x=";

} // namespace

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

    /** Gets the response of a server that sends @p text and then ends the connection. */
    core::Result<HttpResponse> getFrom(const std::string &text, bool isReset)
    {
        constexpr std::chrono::milliseconds DeliveryTime { 20 };
        boost::asio::ip::tcp::acceptor acceptor(this->context,
                                                { boost::asio::ip::make_address("127.0.0.1"), 0 });
        boost::asio::ip::tcp::socket socket(this->context);
        boost::asio::steady_timer timer(this->context, DeliveryTime);
        acceptor.async_accept(socket,
                              [&socket, &text](const boost::system::error_code & /*error*/) {
                                  boost::system::error_code ignored;
                                  boost::asio::write(socket, boost::asio::buffer(text), ignored);
                              });
        bool isEnded = false;
        timer.async_wait([&](const boost::system::error_code & /*error*/) {
            std::array<char, 1024> request {};
            socket.read_some(boost::asio::buffer(request)); // a close would reset otherwise
            socket.set_option(boost::asio::socket_base::linger(isReset, 0));
            socket.close();
            isEnded = true;
        });
        this->reader.setServer("127.0.0.1", acceptor.local_endpoint().port());
        core::Result<HttpResponse> response = this->get("/");
        while (!isEnded) {
            this->context.run_one();
        }
        return response;
    }

    boost::asio::io_context context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work {
        this->context.get_executor()
    };
    QueryServer server { this->context, [](const Query &query) {
                            return QueryResponse {
                                200, "text/plain", std::string(parameterOf(query.parameters, "a"))
                            };
                        } };
    HttpReader reader { this->context,
                        { std::chrono::milliseconds(100), 1000, std::chrono::milliseconds(600) } };
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

// Guards against a timeout that ends the transfer of a large response over a slow link.
TEST_F(HttpReader_Tests, Get_LongTransferThatProgresses_IsNotCutOff)
{
    // [GIVEN] A server that needs three times the timeout for a response, without a long pause
    constexpr int Parts = 6;
    DripServer slow(this->context, Parts, std::chrono::milliseconds(50));
    this->reader.setServer("127.0.0.1", slow.port());

    // [THEN] The response is read whole
    const auto response = this->get("/");
    ASSERT_TRUE(response) << response.error().detail;
    EXPECT_EQ(response->body().size(), static_cast<std::size_t>(Parts));
}

// Guards against a server that holds the reader for ever by sending a byte now and then.
TEST_F(HttpReader_Tests, Get_EndlessTransfer_FailsAfterTheTotalTimeout)
{
    DripServer slow(this->context, 1000, std::chrono::milliseconds(50));
    this->reader.setServer("127.0.0.1", slow.port());
    const auto startedAt = std::chrono::steady_clock::now();
    EXPECT_FALSE(this->get("/"));
    EXPECT_LT(std::chrono::steady_clock::now() - startedAt, std::chrono::seconds(5));
}

// Guards against memory that grows with the bytes of a server that never completes a response.
TEST_F(HttpReader_Tests, Get_BytesWithoutEnd_AreNotKept)
{
    const std::string okLine = "HTTP/1.1 200 OK\r\n";
    for (const std::string &head :
         { std::string(), okLine + "X-A: ", okLine + "Content-Length: 99999999\r\n\r\n",
           okLine + "\r\n", okLine + std::string(ChunkWithoutEnd),
           okLine + "Transfer-Encoding: chunked\r\n\r\n0\r\nX-A: " }) {
        SCOPED_TRACE(head);

        // [GIVEN] A server that sends bytes without end at some place of a response
        boost::asio::ip::tcp::acceptor acceptor(this->context,
                                                { boost::asio::ip::make_address("127.0.0.1"), 0 });
        Flood flood(this->context, head);
        acceptor.async_accept(
            flood.socket, [&flood](const boost::system::error_code & /*error*/) { flood.start(); });
        HttpReader patient(this->context,
                           { std::chrono::seconds(10), 1000, std::chrono::seconds(10) });
        patient.setServer("127.0.0.1", acceptor.local_endpoint().port());

        // [WHEN] It is asked
        std::optional<core::Result<HttpResponse>> result;
        boost::asio::co_spawn(
            this->context, patient.get("/"),
            [&result](const std::exception_ptr & /*error*/, core::Result<HttpResponse> value) {
                result = std::move(value);
            });
        while (!result) {
            this->context.run_one();
        }

        // [THEN] The response fails long before the time limit, and few bytes have been read
        EXPECT_FALSE(*result);
        EXPECT_LT(flood.sentBytes(), Flood::Limit);
        while (!flood.isEnded()) {
            this->context.run_one();
        }
    }
}

// Guards against a part of a response that is taken for the whole.
TEST_F(HttpReader_Tests, Get_ConnectionEnds_IsCompleteOnlyWhereTheResponseSaysSo)
{
    struct Case
    {
        std::string text;
        bool isReset; //!< instead of an orderly end
        bool isWhole;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string chunked = ok + "Transfer-Encoding: chunked\r\n\r\n";
    const Case cases[] {
        { ok + "\r\nbody", false, true },
        { ok + "\r\nbody", true, false },
        { ok + "Content-Length: 4\r\n\r\nbody", true, true },
        { ok + "Content-Length: 5\r\n\r\nbody", false, false },
        { chunked + "4\r\nbody\r\n0\r\n\r\n", true, true },
        { chunked + "4\r\nbody\r\n0\r\n", false, false },
        { chunked + "4\r\nbody\r\n", false, false },
        { ok, false, false },
        { "", false, false },
        { ok + "X-A: b\r\n Content-Length: 4\r\n\r\nbody", false, false },
        { ok + "X-A: b\r\n\tc\r\nContent-Length: 4\r\n\r\nbody", false, false },
    };
    for (const auto &[text, isReset, isWhole] : cases) {
        SCOPED_TRACE(text + (isReset ? ", reset" : ", end"));
        // [WHEN] A server sends a text and ends the connection once it has arrived
        const core::Result<HttpResponse> response = this->getFrom(text, isReset);

        // [THEN] Only a whole response is returned
        EXPECT_EQ(response.has_value(), isWhole);
        EXPECT_TRUE(!isWhole || response->body() == "body");
    }
}

// Guards against the same by a client of a host's own query ports.
TEST_F(HttpReader_Tests, QueryServer_RequestWithoutEnd_IsCutOff)
{
    const std::uint16_t port = this->server.listen("127.0.0.1", 0).value();
    for (const std::string &head : { std::string("GET /"), std::string("GET / HTTP/1.1\r\nX-A: "),
                                     "GET / HTTP/1.1\r\n" + std::string(ChunkWithoutEnd) }) {
        SCOPED_TRACE(head);

        // [WHEN] A client sends a request without end
        Flood flood(this->context, head);
        flood.socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        flood.start();
        while (!flood.isEnded()) {
            this->context.run_one();
        }

        // [THEN] The connection is closed after few bytes
        EXPECT_LT(flood.sentBytes(), Flood::Limit);
    }
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
