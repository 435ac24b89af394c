#include "damaskgate/http/queryserver.h"

#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace damaskgate::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::chrono::seconds IdleTimeout { 30 };
constexpr std::uint32_t MaxHeaderBytes { 8192 };
constexpr std::uint64_t MaxBodyBytes { 1024 };
// Limit of received bytes that are not decoded yet, such as an incomplete chunk header.
constexpr std::size_t MaxUnparsedBytes { 16384 };

using Request = beast::http::request<beast::http::string_body>;
using Response = beast::http::response<beast::http::string_body>;

Response toResponse(const Request &request, QueryResponse queryResponse)
{
    Response response(static_cast<beast::http::status>(queryResponse.status), request.version());
    response.set(beast::http::field::content_type, queryResponse.type);
    for (const auto &[name, value] : queryResponse.fields) {
        response.set(name, value);
    }
    response.keep_alive(request.keep_alive());
    response.body() = std::move(queryResponse.body);
    response.prepare_payload();
    return response;
}

} // namespace

class QueryServer::Impl : public std::enable_shared_from_this<QueryServer::Impl>
{
public:
    Impl(asio::io_context &context, Handler handler)
        : acceptor(context), handler(std::move(handler))
    {}

    core::Result<std::uint16_t> listen(const std::string &address, std::uint16_t port);
    void close();
    Response respond(const Request &request) const;

private:
    class Session;

    void accept();

    tcp::acceptor acceptor;
    Handler handler;
    std::set<std::shared_ptr<Session>> sessions;
};

/** One connection of a client. */
class QueryServer::Impl::Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<Impl> server)
        : stream(std::move(socket)), server(std::move(server))
    {}

    void read()
    {
        this->parser.emplace();
        this->parser->header_limit(MaxHeaderBytes);
        this->parser->body_limit(MaxBodyBytes);
        this->stream.expires_after(IdleTimeout);
        beast::http::async_read(this->stream, this->buffer, *this->parser,
                                [self = this->shared_from_this()](
                                    beast::error_code error, std::size_t) { self->onRead(error); });
    }

    void close()
    {
        this->stream.close();
    }

private:
    void onRead(beast::error_code error)
    {
        if (error) {
            this->end();
            return;
        }
        this->response = this->server->respond(this->parser->get());
        beast::http::async_write(
            this->stream, this->response,
            [self = this->shared_from_this()](beast::error_code error, std::size_t) {
                self->onWritten(error);
            });
    }

    void onWritten(beast::error_code error)
    {
        if (error || !this->response.keep_alive()) {
            this->end();
            return;
        }
        this->read();
    }

    void end()
    {
        this->stream.close();
        this->server->sessions.erase(this->shared_from_this());
    }

    beast::tcp_stream stream;
    std::shared_ptr<Impl> server;
    beast::flat_buffer buffer { MaxUnparsedBytes };
    std::optional<beast::http::request_parser<beast::http::string_body>> parser;
    Response response;
};

core::Result<std::uint16_t> QueryServer::Impl::listen(const std::string &address,
                                                      std::uint16_t port)
{
    beast::error_code error;
    const tcp::endpoint endpoint(asio::ip::make_address(address, error), port);
    if (!error) {
        this->acceptor.open(endpoint.protocol(), error);
    }
    if (!error) {
        this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        this->acceptor.bind(endpoint, error);
    }
    if (!error) {
        this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        this->acceptor.close();
        return core::notRun(core::Reason::Internal,
                            "cannot listen on " + address + ": " + error.message());
    }
    this->accept();
    return this->acceptor.local_endpoint().port();
}

void QueryServer::Impl::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](beast::error_code error, tcp::socket socket) {
            if (error == asio::error::operation_aborted) {
                return;
            }
            if (!error) {
                auto session = std::make_shared<Session>(std::move(socket), self);
                self->sessions.insert(session);
                session->read();
            }
            if (self->acceptor.is_open()) {
                self->accept();
            }
        });
}

void QueryServer::Impl::close()
{
    beast::error_code ignored;
    this->acceptor.close(ignored);
    for (const std::shared_ptr<Session> &session : std::exchange(this->sessions, {})) {
        session->close();
    }
}

Response QueryServer::Impl::respond(const Request &request) const
{
    if (request.method() != beast::http::verb::get) {
        return toResponse(request, { 405, "text/plain", "GET only\n" });
    }
    const std::string_view target(request.target().data(), request.target().size());
    const auto end = std::min(target.find('?'), target.size());
    const std::string_view parameters = target.substr(std::min(end + 1, target.size()));
    return toResponse(request, this->handler({ target.substr(0, end), parameters }));
}

std::string_view parameterOf(std::string_view parameters, std::string_view name)
{
    for (std::size_t start = 0; start < parameters.size();) {
        const auto end = std::min(parameters.find('&', start), parameters.size());
        const std::string_view parameter = parameters.substr(start, end - start);
        if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('=')) {
            return parameter.substr(name.size() + 1);
        }
        start = end + 1;
    }
    return {};
}

QueryServer::QueryServer(asio::io_context &context, Handler handler)
    : impl(std::make_shared<Impl>(context, std::move(handler)))
{}

QueryServer::~QueryServer()
{
    this->close();
}

core::Result<std::uint16_t> QueryServer::listen(const std::string &address, std::uint16_t port)
{
    return this->impl->listen(address, port);
}

void QueryServer::close()
{
    this->impl->close();
}

} // namespace damaskgate::http
