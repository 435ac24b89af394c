#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <utility>

#include "damaskgate/http/messagereader.h"

#include "callerconnection.h"

namespace damaskgate::entry {

/** Body of a caller's request. The first part is buffered for retries, the rest is streamed. */
class RequestBody
{
public:
    RequestBody(CallerConnection &caller, RequestParser &parser);

    /** @return whether a body follows the header. */
    bool isPresent() const;

    /** @return whether the complete body has been read from the caller. */
    bool isDone() const;

    /** @return whether the body is forwarded in chunks, since its length is unknown. */
    bool isChunked() const;

    /** @return the framing fields of the forwarded request. */
    std::string framingFields() const;

    /** Reads the first part. @return an error if the body is truncated or malformed */
    asio::awaitable<error_code> prefetch();

    /** @return the part buffered by prefetch(). */
    std::string_view firstPart() const;

    /** @return whether firstPart() has all bytes read so far, so that a retry can resend them. */
    bool isReplayable() const;

    /** Reads the next part. @return a view that is valid until the next call; empty at the end */
    asio::awaitable<std::pair<error_code, std::string_view>> readNext();

private:
    RequestParser &parser;
    damaskgate::http::MessageReader<CallerStream, RequestParser> reader;
    std::unique_ptr<char[]> first;
    std::size_t firstSize = 0;
    std::unique_ptr<char[]> next;
};

} // namespace damaskgate::entry
