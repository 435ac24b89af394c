#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace damaskgate::standins {

class UpstreamEndpoint;

/**
 * Serves the requests of one connection to an endpoint.
 *
 * Paths: `/echo` streams the request body back, `/bytes/N` and `/chunked/N` return N bytes,
 * `/close/N` returns N bytes without a length, `/early` responds before the body is read,
 * `/health`, `/_faults` and `/_stats` serve probes, faults and counters. Other paths return a
 * short text.
 */
class UpstreamSession : public std::enable_shared_from_this<UpstreamSession>
{
public:
    UpstreamSession(UpstreamEndpoint &endpoint,
                    std::shared_ptr<boost::asio::ip::tcp::socket> connection);

    boost::asio::awaitable<void> run();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;
    using Handler = boost::asio::awaitable<bool> (UpstreamSession::*)();

    struct Resource
    {
        std::string_view prefix;
        Handler serve;
    };
    static const std::initializer_list<Resource> Resources;

    boost::asio::awaitable<bool> serveNext();
    boost::asio::awaitable<bool> serveHealth();
    boost::asio::awaitable<bool> serveFaults();
    boost::asio::awaitable<bool> serveStats();
    boost::asio::awaitable<bool> serveEarly();
    boost::asio::awaitable<bool> serveEcho();
    boost::asio::awaitable<bool> serveRequest();
    boost::asio::awaitable<bool> processRequest();
    boost::asio::awaitable<bool> sendContent();
    boost::asio::awaitable<bool> pause(std::chrono::milliseconds time);
    boost::asio::awaitable<std::optional<std::string>> readPart();
    boost::asio::awaitable<bool> readBody(std::string *kept);
    boost::asio::awaitable<bool> send(std::string_view text);
    boost::asio::awaitable<bool> respond(int status, std::string_view body,
                                         std::string_view fields = {});
    boost::asio::awaitable<bool> waitWhileHanging();
    std::string makeHead(int status, std::string_view framing) const;
    void watchForClose();
    bool containsKey() const;
    std::string_view path() const;
    std::string_view field(const char *name) const;

    UpstreamEndpoint &endpoint;
    std::shared_ptr<boost::asio::ip::tcp::socket> connection;
    boost::asio::ip::tcp::socket &socket; //!< socket of `connection`
    boost::asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    std::optional<Parser> parser;
    bool isClosedByClient = false; //!< whether the client closed the connection
};

} // namespace damaskgate::standins
