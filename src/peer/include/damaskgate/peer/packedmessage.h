#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "damaskgate/core/error.h"

namespace damaskgate::peer {

//! NOTE For the sources of codecs only: this header is costly to compile.

constexpr std::uint64_t MaxWordsRead = 4096; //!< Cap'n Proto words read from one message

/** @return @p message as the payload of a datagram. */
inline std::vector<std::byte> packMessage(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    const auto view = std::as_bytes(std::span(bytes.begin(), bytes.size()));
    return { view.begin(), view.end() };
}

/**
 * Reads a payload of any origin.
 *
 * @tparam Root Cap'n Proto type of the message
 * @tparam Value what is read
 * @param read called with the reader of the root; its result is returned
 * @param maxWords Cap'n Proto words that may be read
 * @return the value, or BadRequest when the payload is malformed
 */
template <typename Root, typename Value, typename Read>
core::Result<Value> unpackMessage(std::span<const std::byte> payload, Read read,
                                  std::uint64_t maxWords = MaxWordsRead)
{
    try {
        kj::ArrayInputStream stream(
            { reinterpret_cast<const kj::byte *>(payload.data()), payload.size() });
        capnp::ReaderOptions options;
        options.traversalLimitInWords = maxWords;
        capnp::PackedMessageReader message(stream, options);
        return read(message.getRoot<Root>());
    } catch (const kj::Exception &) {
        return core::notRun(core::Reason::BadRequest, "malformed message of another host");
    }
}

} // namespace damaskgate::peer
