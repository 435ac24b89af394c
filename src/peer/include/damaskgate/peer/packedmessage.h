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

//! NOTE Include this header only in the .cpp files of codecs, as it is slow to compile.

constexpr std::uint64_t MaxWordsRead = 4096; //!< limit of Cap'n Proto words read from one message

/** @return @p message encoded as the payload of a datagram. */
inline std::vector<std::byte> packMessage(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    const auto view = std::as_bytes(std::span(bytes.begin(), bytes.size()));
    return { view.begin(), view.end() };
}

/**
 * Decodes a payload from an untrusted source.
 *
 * @tparam Root Cap'n Proto type of the message
 * @tparam Value type of the decoded value
 * @param payload encoded message
 * @param read function that is called with the reader of the root and returns the value
 * @param maxWords limit of Cap'n Proto words to read
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
        return core::notRun(core::Reason::BadRequest, "malformed message from another host");
    }
}

} // namespace damaskgate::peer
