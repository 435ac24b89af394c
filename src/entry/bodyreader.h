#pragma once

#include <span>
#include <utility>

#include "httptypes.h"

namespace damaskgate::entry {

/** Reads a message body from a socket in parts and removes its transfer coding. */
template <bool IsRequest>
class BodyReader
{
public:
    using Parser = http::parser<IsRequest, http::buffer_body>;

    BodyReader(asio::ip::tcp::socket &socket, beast::flat_buffer &buffer, Parser &parser)
        : socket(socket), buffer(buffer), parser(parser)
    {}

    /** @return whether the complete body has been read. */
    bool isDone() const
    {
        return this->parser.is_done();
    }

    /**
     * Decodes the bytes received so far, without reading from the socket.
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
        if (ec == http::error::need_buffer || ec == http::error::need_more) {
            ec = {};
        }
        return { ec, out.size() - body.size };
    }

    /** @return error code and bytes written to @p out; zero bytes only at the end or on error. */
    asio::awaitable<std::pair<error_code, std::size_t>> readSome(std::span<char> out)
    {
        auto decoded = this->decode(out);
        while (!decoded.first && decoded.second == 0 && !this->parser.is_done()) {
            const error_code ec = co_await this->receive();
            if (ec) {
                co_return std::pair<error_code, std::size_t> { ec, 0 };
            }
            decoded = this->decode(out);
        }
        co_return decoded;
    }

private:
    asio::awaitable<error_code> receive()
    {
        if (this->buffer.size() >= MaxUnparsedBytes) {
            co_return http::error::header_limit;
        }
        auto space = this->buffer.prepare(IoBufferSize);
        auto [ec, size] = co_await this->socket.async_read_some(space, WithError);
        this->buffer.commit(size);
        if (ec == asio::error::eof) {
            ec = {};
            this->parser.put_eof(ec);
        }
        co_return ec;
    }

    /** Limit of received bytes that do not complete a chunk header or trailer. */
    static constexpr std::size_t MaxUnparsedBytes = 65536;

    asio::ip::tcp::socket &socket;
    beast::flat_buffer &buffer;
    Parser &parser;
};

} // namespace damaskgate::entry
