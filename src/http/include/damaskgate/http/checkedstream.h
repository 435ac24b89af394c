#pragma once

#include <cstddef>
#include <tuple>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace damaskgate::http {

/** Error and number of bytes of a read or a write. */
using IoResult = std::tuple<boost::system::error_code, std::size_t>;

/**
 * Reads from and writes to one connection, on one thread. The kernel reports a reset once, to the
 * next operation. If that is a write, reads see the bytes that are left and then an end of the
 * stream, as if the peer had closed the connection in order. So all writes beside a read have to go
 * through this class.
 *
 * @tparam Stream socket or stream of Asio or Beast; must outlive this object
 */
template <typename Stream>
class CheckedStream
{
public:
    explicit CheckedStream(Stream &stream) : stream(stream) {}

    CheckedStream(const CheckedStream &) = delete;
    CheckedStream &operator=(const CheckedStream &) = delete;

    /** Writes all of @p buffers. @return the first error, and the bytes written before it */
    template <typename Buffers>
    boost::asio::awaitable<IoResult> write(const Buffers &buffers)
    {
        const IoResult result = co_await boost::asio::async_write(this->stream, buffers, WithError);
        if (!this->writeError) {
            this->writeError = std::get<0>(result);
        }
        co_return result;
    }

    /** Reads some bytes. @return asio::error::eof only if the peer has ended its side in order */
    boost::asio::awaitable<IoResult> read(boost::asio::mutable_buffer space)
    {
        auto [ec, size] = co_await this->stream.async_read_some(space, WithError);
        if (ec == boost::asio::error::eof) {
            // A write that has taken a reset may wait behind this read in the queue of the event
            // loop.
            co_await boost::asio::post(boost::asio::use_awaitable);
            if (this->isBroken()) {
                ec = this->writeError;
            }
        }
        co_return IoResult { ec, size };
    }

    /**
     * @return whether a write has found the connection broken before the peer ended its side. If
     * its first error is a broken pipe, the reset came after the end of the stream, so that
     * everything that the peer sent has been received.
     */
    bool isBroken() const
    {
        return this->writeError && this->writeError != boost::asio::error::broken_pipe;
    }

private:
    static constexpr auto WithError = boost::asio::as_tuple(boost::asio::use_awaitable);

    Stream &stream;
    boost::system::error_code writeError; //!< of the first write that failed
};

} // namespace damaskgate::http
