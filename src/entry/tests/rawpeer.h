#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace damaskgate::entry {

/** A message as it was read from the wire, with its body decoded. */
struct WireMessage
{
    std::string startLine;
    std::multimap<std::string, std::string> fields; //!< names in lower case
    std::string body;
    bool isComplete = false;

    int status() const;
    std::string field(const std::string &name) const;
};

/** A blocking connection that plays a caller or an endpoint byte by byte. */
class RawPeer
{
public:
    explicit RawPeer(boost::asio::ip::tcp::socket socket);

    /** Connects to a port of this machine. */
    explicit RawPeer(std::uint16_t port);

    void send(std::string_view text);

    /** Sends zeros until nothing more is taken. @return bytes sent, at most @p limit */
    std::size_t sendUntilBlocked(std::size_t limit);

    /** Reads a request up to the end of its header. */
    WireMessage readRequestHead();

    /** Reads a whole answer. @param isHead whether it answers a HEAD request */
    WireMessage readResponse(bool isHead = false);

    /** Reads an answer's header alone. */
    WireMessage readResponseHead();

    /** Reads until something that ends with @p text has arrived. */
    bool readUntil(std::string_view text);

    /** Waits for the other side to close. @return whether it did without sending anything more */
    bool isClosedByPeer();

    /** Waits for the other side to end. @return whether it reset the connection */
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

/** An endpoint whose every byte the test writes itself. */
class RawEndpoint
{
public:
    RawEndpoint();

    std::uint16_t port() const;

    /** Waits for a connection. */
    RawPeer accept();

    /** @return whether a further connection is waiting. */
    bool hasPending();

    void close();

private:
    boost::asio::io_context ioContext;
    boost::asio::ip::tcp::acceptor acceptor;
};

} // namespace damaskgate::entry
