#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace damaskgate::entry {

/** A received HTTP message with decoded body. */
struct WireMessage
{
    std::string startLine;
    std::multimap<std::string, std::string> fields; //!< names in lower case
    std::string body;
    bool isComplete = false;

    int status() const;
    std::string field(const std::string &name) const;
};

/** Blocking connection with which a test acts as caller or endpoint at byte level. */
class RawPeer
{
public:
    explicit RawPeer(boost::asio::ip::tcp::socket socket);

    /** Connects to @p port on the loopback interface. */
    explicit RawPeer(std::uint16_t port);

    void send(std::string_view text);

    /** Sends zeros until the peer stops reading. @return bytes sent; ends at about @p limit */
    std::size_t sendUntilBlocked(std::size_t limit);

    /** Reads a request header. */
    WireMessage readRequestHead();

    /** Reads a complete response. @param isHead whether the request was a HEAD request */
    WireMessage readResponse(bool isHead = false);

    /** Reads a response header. */
    WireMessage readResponseHead();

    /** Reads up to the first occurrence of @p text. @return false if the connection ends first */
    bool readUntil(std::string_view text);

    /** Waits for the peer. @return whether it closed or reset without sending more data */
    bool isClosedByPeer();

    /** Waits for the peer. @return whether it reset the connection without sending more data */
    bool isResetByPeer();

    void closeSending();
    void close();

    boost::asio::ip::tcp::socket &stream();

private:
    boost::system::error_code waitForEnd();

    static boost::asio::io_context &ioContext();
    WireMessage read(bool isRequest, bool isHead, bool isHeaderOnly);

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

/** Listening endpoint whose responses the test writes byte by byte. */
class RawEndpoint
{
public:
    RawEndpoint();

    std::uint16_t port() const;

    /** Waits for a connection; throws after 10 s. */
    RawPeer accept();

    /** @return whether a connection waits to be accepted. */
    bool hasPending();

    void close();

private:
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace damaskgate::entry
