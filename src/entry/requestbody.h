#pragma once

#include <memory>
#include <span>
#include <string_view>
#include <utility>

#include "bodyreader.h"
#include "callerconnection.h"

namespace damaskgate::entry {

/** The body of a caller's request: its first part, kept for a retry, and the rest, streamed. */
class RequestBody
{
public:
    RequestBody(CallerConnection &caller, RequestParser &parser);

    /** @return whether a body follows the header. */
    bool isPresent() const;

    /** @return whether the whole body has been read from the caller. */
    bool isDone() const;

    /** @return whether the upstream gets the body in chunks, as its length is not known. */
    bool isChunked() const;

    /** @return the framing fields towards the upstream. */
    std::string framingFields() const;

    /** Reads the first part of the body. @return an error where the body is broken off or bad */
    asio::awaitable<error_code> prefetch();

    /** @return the first part of the body. */
    std::string_view firstPart() const;

    /** @return whether firstPart() is all that was taken from the caller. */
    bool isReplayable() const;

    /** Reads a further part. @return a view that is valid until the next call; empty at the end */
    asio::awaitable<std::pair<error_code, std::string_view>> readNext();

private:
    RequestParser &parser;
    BodyReader<true> reader;
    std::unique_ptr<char[]> first;
    std::size_t firstSize = 0;
    std::unique_ptr<char[]> next;
};

} // namespace damaskgate::entry
