#include <chrono>
#include <future>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "httpclient.h"

namespace damaskgate::load {

namespace {

namespace asio = boost::asio;

struct ResponseCase
{
    const char *name;
    std::string text; //!< sent before an orderly end of the connection
    Outcome outcome;
};

const std::string Ok = "HTTP/1.1 200 OK\r\n";
const ResponseCase Cases[] {
    { "Length", Ok + "Content-Length: 4\r\n\r\nbody", Outcome::Answered },
    { "NoLength", Ok + "\r\nbody", Outcome::Answered },
    { "ShorterThanItsLength", Ok + "Content-Length: 5\r\n\r\nbody", Outcome::Broken },
    { "NoLastChunk", Ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", Outcome::Broken },
    { "NoBody", Ok, Outcome::Broken },
    { "Nothing", "", Outcome::Broken },
    { "FoldedLine", Ok + "X-A: b\r\n c\r\nContent-Length: 4\r\n\r\nbody", Outcome::Broken },
};

/** Sends @p text as the response to one request. */
void respond(asio::ip::tcp::acceptor &acceptor, const std::string &text)
{
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(socket, asio::buffer(text));
}

} // namespace

// Guards against a measurement that counts a part of a response as an answer.
TEST(HttpClient_Tests, Exchange_BrokenResponse_IsNotCountedAsAnswered)
{
    for (const auto &[name, text, outcome] : Cases) {
        SCOPED_TRACE(name);
        // [GIVEN] A server that sends a text and closes the connection
        asio::io_context context;
        asio::ip::tcp::acceptor acceptor(context, { asio::ip::address_v4::loopback(), 0 });
        auto server = std::async(std::launch::async, [&] { respond(acceptor, text); });

        // [WHEN] A request is sent to it
        HttpClient client(context.get_executor());
        HttpRequest request(boost::beast::http::verb::get, "/", 11);
        auto response =
            asio::co_spawn(context,
                           client.exchange({ "127.0.0.1", acceptor.local_endpoint().port() },
                                           std::move(request), {}, std::chrono::seconds(5)),
                           asio::use_future);
        context.run();
        server.wait();

        // [THEN] Only a whole response counts
        EXPECT_EQ(response.get().result.outcome, outcome);
    }
}

} // namespace damaskgate::load
