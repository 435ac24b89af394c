#include "rawpeer.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <stdexcept>

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

namespace damaskgate::entry {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr int ReadTimeoutMs = 10000; //!< maximum wait for data or a connection
constexpr int BlockedAfterMs =
    300; //!< time without progress after which a sender counts as blocked

bool isReady(asio::ip::tcp::socket &socket, short events, int timeoutMs)
{
    pollfd item { socket.native_handle(), events, 0 };
    return ::poll(&item, 1, timeoutMs) > 0;
}

std::string lowered(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(),
                           [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return result;
}

template <bool IsRequest>
void copyFields(const http::parser<IsRequest, http::string_body> &parser, WireMessage &message)
{
    for (const auto &field : parser.get()) {
        message.fields.emplace(lowered({ field.name_string().data(), field.name_string().size() }),
                               std::string(field.value()));
    }
    message.body = parser.get().body();
    message.isComplete = parser.is_done();
}

} // namespace

int WireMessage::status() const
{
    return this->startLine.empty() ? 0 : std::stoi(this->startLine);
}

std::string WireMessage::field(const std::string &name) const
{
    const auto found = this->fields.find(lowered(name));
    return found == this->fields.end() ? std::string {} : found->second;
}

RawPeer::RawPeer(asio::ip::tcp::socket socket) : socket(std::move(socket))
{
    timeval timeout { ReadTimeoutMs / 1000, 0 };
    ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    this->socket.set_option(asio::ip::tcp::no_delay(true));
}

RawPeer::RawPeer(std::uint16_t port)
    : RawPeer([port] {
          asio::ip::tcp::socket socket(ioContext());
          socket.connect({ asio::ip::address_v4::loopback(), port });
          return socket;
      }())
{}

void RawPeer::send(std::string_view text)
{
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(text.data(), text.size()), ignored);
}

std::size_t RawPeer::sendUntilBlocked(std::size_t limit)
{
    const std::string zeros(65536, '0');
    std::size_t sent = 0;
    while (sent < limit && isReady(this->socket, POLLOUT, BlockedAfterMs)) {
        const auto size = ::send(this->socket.native_handle(), zeros.data(), zeros.size(),
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
        if (size < 0) {
            break;
        }
        sent += static_cast<std::size_t>(size);
    }
    return sent;
}

WireMessage RawPeer::readRequestHead()
{
    return this->read(true, false, true);
}

WireMessage RawPeer::readResponse(bool isHead)
{
    return this->read(false, isHead, false);
}

WireMessage RawPeer::readResponseHead()
{
    return this->read(false, false, true);
}

bool RawPeer::readUntil(std::string_view text)
{
    std::string got;
    while (!got.ends_with(text)) {
        if (this->buffer.size() == 0) {
            boost::system::error_code ec;
            const auto size = this->socket.read_some(this->buffer.prepare(1), ec);
            if (ec) {
                return false;
            }
            this->buffer.commit(size);
        }
        got += *static_cast<const char *>(this->buffer.data().data());
        this->buffer.consume(1);
    }
    return true;
}

bool RawPeer::isClosedByPeer()
{
    const boost::system::error_code ec = this->waitForEnd();
    return ec == asio::error::eof || ec == asio::error::connection_reset;
}

bool RawPeer::isResetByPeer()
{
    return this->waitForEnd() == asio::error::connection_reset;
}

boost::system::error_code RawPeer::waitForEnd()
{
    if (this->buffer.size() > 0 || !isReady(this->socket, POLLIN, ReadTimeoutMs)) {
        return {};
    }
    std::array<char, 1> octet {};
    boost::system::error_code ec;
    this->socket.read_some(asio::buffer(octet), ec);
    return ec;
}

void RawPeer::closeSending()
{
    boost::system::error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void RawPeer::close()
{
    boost::system::error_code ignored;
    this->socket.close(ignored);
}

asio::ip::tcp::socket &RawPeer::stream()
{
    return this->socket;
}

asio::io_context &RawPeer::ioContext()
{
    static asio::io_context instance;
    return instance;
}

WireMessage RawPeer::read(bool isRequest, bool isHead, bool isHeaderOnly)
{
    boost::system::error_code ec;
    WireMessage message;
    if (isRequest) {
        http::request_parser<http::string_body> parser;
        http::read_header(this->socket, this->buffer, parser, ec);
        message.startLine =
            std::string(parser.get().method_string()) + " " + std::string(parser.get().target());
        copyFields(parser, message);
        return message;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(isHead);
    http::read_header(this->socket, this->buffer, parser, ec);
    if (!ec && !isHeaderOnly && !parser.is_done()) {
        http::read(this->socket, this->buffer, parser, ec);
    }
    if (parser.is_header_done()) {
        message.startLine = std::to_string(parser.get().result_int());
    }
    copyFields(parser, message);
    return message;
}

RawEndpoint::RawEndpoint() : acceptor(this->ioContext, { asio::ip::address_v4::loopback(), 0 }) {}

std::uint16_t RawEndpoint::port() const
{
    return this->acceptor.local_endpoint().port();
}

RawPeer RawEndpoint::accept()
{
    pollfd item { this->acceptor.native_handle(), POLLIN, 0 };
    if (::poll(&item, 1, ReadTimeoutMs) <= 0) {
        throw std::runtime_error("no connection to the endpoint within the timeout");
    }
    return RawPeer(this->acceptor.accept());
}

bool RawEndpoint::hasPending()
{
    pollfd item { this->acceptor.native_handle(), POLLIN, 0 };
    return ::poll(&item, 1, 0) > 0;
}

void RawEndpoint::close()
{
    this->acceptor.close();
}

} // namespace damaskgate::entry
