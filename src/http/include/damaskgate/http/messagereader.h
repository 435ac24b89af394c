#pragma once

#include <algorithm>
#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

namespace damaskgate::http {

/**
 * Reads one HTTP message from a connection. Decides for all readers whether a message has ended as
 * a whole.
 *
 * @tparam Stream has a function read() like CheckedStream, which reports an end of the stream only
 *         if the peer has ended its side of the connection in order
 * @tparam Parser a Beast parser of requests or responses
 */
template <typename Stream, typename Parser>
class MessageReader
{
public:
    using error_code = boost::system::error_code;

    /** All parameters must outlive the reader. @param buffer received bytes that are not decoded */
    MessageReader(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser)
        : stream(stream), buffer(buffer), parser(parser)
    {}

    /**
     * Reads the header.
     *
     * @return an error if the connection ends first, or if the header is malformed or has a folded
     * line, which recipients read in different ways
     */
    boost::asio::awaitable<error_code> readHead()
    {
        while (true) {
            error_code ec;
            if (this->buffer.size() > 0) {
                const std::size_t parsed = this->parser.put(this->buffer.data(), ec);
                this->head.append(static_cast<const char *>(this->buffer.data().data()), parsed);
                this->buffer.consume(parsed);
            }
            if (ec && ec != boost::beast::http::error::need_more) {
                co_return ec;
            }
            if (this->parser.is_header_done()) {
                co_return hasFoldedLine(this->head)
                    ? error_code(boost::beast::http::error::bad_obs_fold)
                    : error_code {};
            }
            ec = co_await this->receive();
            if (ec) {
                co_return ec;
            }
        }
    }

    /** @return the header as received, from the first line to the empty one. */
    std::string_view rawHead() const
    {
        return this->head;
    }

    /** @return whether the complete message has been read. */
    bool isDone() const
    {
        return this->parser.is_done();
    }

    /**
     * Decodes the bytes received so far, without reading from the connection. For parsers with a
     * buffer_body.
     *
     * @return error code and number of bytes written to @p out
     */
    std::pair<error_code, std::size_t> decode(std::span<char> out)
    {
        auto &body = this->parser.get().body();
        body.data = out.data();
        body.size = out.size();
        body.more = true;
        error_code ec;
        while (!ec && !this->parser.is_done() && body.size > 0 && this->buffer.size() > 0) {
            this->buffer.consume(this->parser.put(this->buffer.data(), ec));
        }
        if (ec == boost::beast::http::error::need_buffer
            || ec == boost::beast::http::error::need_more) {
            ec = {};
        }
        return { ec, out.size() - body.size };
    }

    /**
     * Reads a part of the body, for parsers with a buffer_body.
     *
     * @return error code and bytes written to @p out; zero bytes only at the end or on error
     */
    boost::asio::awaitable<std::pair<error_code, std::size_t>> readSome(std::span<char> out)
    {
        auto decoded = this->decode(out);
        while (!decoded.first && decoded.second == 0 && !this->parser.is_done()) {
            const error_code ec = co_await this->receiveBody();
            if (ec) {
                co_return std::pair<error_code, std::size_t> { ec, 0 };
            }
            decoded = this->decode(out);
        }
        co_return decoded;
    }

    /** Reads the whole body, for parsers that store it. @return an error if it is not complete */
    boost::asio::awaitable<error_code> readBody()
    {
        this->parser.eager(true);
        while (!this->parser.is_done()) {
            error_code ec;
            if (this->buffer.size() > 0) {
                this->buffer.consume(this->parser.put(this->buffer.data(), ec));
            }
            if (ec && ec != boost::beast::http::error::need_more) {
                co_return ec;
            }
            if (!this->parser.is_done()) {
                ec = co_await this->receiveBody();
                if (ec) {
                    co_return ec;
                }
            }
        }
        co_return error_code {};
    }

private:
    // Parsers join a folded line to the value before it.
    static bool hasFoldedLine(std::string_view head)
    {
        return head.find("\r\n ") != std::string_view::npos
            || head.find("\r\n\t") != std::string_view::npos;
    }

    /** Limit of received bytes that complete no line of a header, chunk header or trailer. */
    static constexpr std::size_t MaxUnparsedBytes = 65536;
    static constexpr std::size_t ReadSize = 16384; //!< bytes

    boost::asio::awaitable<error_code> receive()
    {
        if (this->buffer.size() >= MaxUnparsedBytes) {
            co_return boost::beast::http::error::header_limit;
        }
        const auto space =
            this->buffer.prepare(std::min(ReadSize, MaxUnparsedBytes - this->buffer.size()));
        const auto [ec, size] = co_await this->stream.read(space);
        this->buffer.commit(size);
        co_return ec;
    }

    // Only a body without a length and without chunks ends with its connection.
    boost::asio::awaitable<error_code> receiveBody()
    {
        error_code ec = co_await this->receive();
        if (ec == boost::asio::error::eof) {
            ec = {};
            this->parser.put_eof(ec);
        }
        co_return ec;
    }

    Stream &stream;
    boost::beast::flat_buffer &buffer;
    Parser &parser;
    std::string head;
};

} // namespace damaskgate::http
