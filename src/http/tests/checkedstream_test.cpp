#include "damaskgate/http/checkedstream.h"

#include <array>
#include <optional>
#include <ostream>
#include <string_view>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <gtest/gtest.h>

namespace damaskgate::http {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

struct EndCase
{
    const char *name;
    bool isEnded; //!< the peer ends its side
    bool isReset; //!< the peer resets the connection, afterwards
    bool isOrderly;
};

std::ostream &operator<<(std::ostream &out, const EndCase &item)
{
    return out << item.name;
}

const EndCase EndCases[] {
    { "Ended", true, false, true },
    { "Reset", false, true, false },
    { "EndedAndReset", true, true, true },
};

} // namespace

/** A connection whose other end the test closes while both a read and a write are called. */
class CheckedStream_Tests : public testing::Test
{
protected:
    CheckedStream_Tests()
    {
        asio::ip::tcp::acceptor acceptor(this->context, { asio::ip::address_v4::loopback(), 0 });
        this->socket.connect(acceptor.local_endpoint());
        acceptor.accept(this->peer);
    }

    void startRead()
    {
        asio::co_spawn(
            this->context,
            [this]() -> asio::awaitable<void> {
                std::array<char, 16> space {};
                IoResult result = co_await this->stream.read(asio::buffer(space));
                while (!std::get<0>(result)) {
                    result = co_await this->stream.read(asio::buffer(space));
                }
                this->readError = std::get<0>(result);
            },
            asio::detached);
    }

    void startWrite()
    {
        asio::co_spawn(
            this->context,
            [this]() -> asio::awaitable<void> {
                co_await this->stream.write(asio::buffer(std::string_view("request")));
            },
            asio::detached);
    }

    void end(const EndCase &item)
    {
        if (item.isEnded) {
            this->peer.shutdown(asio::ip::tcp::socket::shutdown_send);
        }
        if (item.isReset) {
            this->peer.set_option(asio::socket_base::linger(true, 0));
            this->peer.close();
        }
    }

    asio::io_context context;
    asio::ip::tcp::socket socket { this->context };
    asio::ip::tcp::socket peer { this->context };
    CheckedStream<asio::ip::tcp::socket> stream { this->socket };
    std::optional<error_code> readError;
};

class CheckedStreamEnd_Tests : public CheckedStream_Tests,
                               public testing::WithParamInterface<EndCase>
{};

// Guards against a reset that is taken for an orderly end of the connection. The event loop learns
// that the read can go on before the write is called, and the write takes the reset.
TEST_P(CheckedStreamEnd_Tests, Read_WriteTakesTheResetFirst_SeesIt)
{
    // [GIVEN] A read that waits
    this->startRead();
    this->context.poll();

    // [WHEN] The peer ends the connection, and a write is called
    this->startWrite();
    this->end(GetParam());
    this->context.poll();

    // [THEN] The read ends, and as an end of the stream only if that was the peer's
    ASSERT_TRUE(this->readError);
    EXPECT_EQ(*this->readError == asio::error::eof, GetParam().isOrderly) << *this->readError;
}

// Guards against the same if the write is resumed before the read.
TEST_P(CheckedStreamEnd_Tests, Read_AfterTheWriteHasFailed_SeesTheReset)
{
    // [GIVEN] The peer has sent a part and ended the connection, and a write has failed
    this->peer.send(asio::buffer(std::string_view("part")));
    this->end(GetParam());
    this->startWrite();
    this->context.poll();

    // [WHEN] The rest is read
    this->startRead();
    this->context.restart();
    this->context.poll();

    // [THEN] It ends as an end of the stream only if that was the peer's
    ASSERT_TRUE(this->readError);
    EXPECT_EQ(*this->readError == asio::error::eof, GetParam().isOrderly) << *this->readError;
}

INSTANTIATE_TEST_SUITE_P(Ends, CheckedStreamEnd_Tests, testing::ValuesIn(EndCases),
                         [](const auto &info) { return info.param.name; });

} // namespace damaskgate::http
