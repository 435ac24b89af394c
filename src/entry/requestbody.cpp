#include "requestbody.h"

namespace damaskgate::entry {

RequestBody::RequestBody(CallerConnection &caller, RequestParser &parser)
    : parser(parser), reader(caller.stream, caller.buffer, parser)
{}

bool RequestBody::isPresent() const
{
    return this->parser.chunked() || this->parser.content_length().value_or(0) > 0;
}

bool RequestBody::isDone() const
{
    return this->reader.isDone();
}

bool RequestBody::isChunked() const
{
    return this->parser.chunked();
}

std::string RequestBody::framingFields() const
{
    if (this->isChunked()) {
        return "Transfer-Encoding: chunked\r\n";
    }
    const auto length = this->parser.content_length();
    return length ? "Content-Length: " + std::to_string(*length) + "\r\n" : std::string {};
}

asio::awaitable<error_code> RequestBody::prefetch()
{
    if (!this->isPresent() || this->isDone()) {
        co_return error_code {};
    }
    this->first = std::make_unique_for_overwrite<char[]>(IoBufferSize);
    while (!this->isDone() && this->firstSize < IoBufferSize) {
        const std::span<char> space(this->first.get() + this->firstSize,
                                    IoBufferSize - this->firstSize);
        const auto [ec, size] = co_await this->reader.readSome(space);
        this->firstSize += size;
        if (ec) {
            co_return ec;
        }
    }
    co_return error_code {};
}

std::string_view RequestBody::firstPart() const
{
    return { this->first.get(), this->firstSize };
}

bool RequestBody::isReplayable() const
{
    return this->next == nullptr;
}

asio::awaitable<std::pair<error_code, std::string_view>> RequestBody::readNext()
{
    if (!this->next) {
        this->next = std::make_unique_for_overwrite<char[]>(IoBufferSize);
    }
    const auto [ec, size] = co_await this->reader.readSome({ this->next.get(), IoBufferSize });
    co_return std::pair<error_code, std::string_view> { ec, { this->next.get(), size } };
}

} // namespace damaskgate::entry
