#include "damaskgate/peer/envelope.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize.h>

#include "damaskgate/core/hash.h"

#include "envelope.capnp.h"

namespace damaskgate::peer {

namespace {

constexpr std::uint16_t WireVersion = 1;
constexpr std::size_t MacBytes = sizeof(core::Sha256);
constexpr std::uint64_t MaxWordsRead = 512;

std::string_view asText(std::span<const std::byte> bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

bool isAuthentic(std::span<const std::byte> datagram, std::string_view secret)
{
    const core::Sha256 expected = core::hmacSha256(secret, asText(datagram.subspan(MacBytes)));
    const std::span mac(reinterpret_cast<const std::uint8_t *>(datagram.data()), MacBytes);
    return core::equalInConstantTime(mac, expected);
}

core::Result<Envelope> readBody(std::span<const std::byte> body, const core::HostName &self)
{
    //! NOTE Cap'n Proto reads aligned words only, the datagram buffer may not be aligned.
    auto words = kj::heapArray<capnp::word>(body.size() / sizeof(capnp::word));
    std::ranges::copy(body, std::as_writable_bytes(std::span(words.begin(), words.size())).begin());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxWordsRead;
    capnp::FlatArrayMessageReader message(words, options);
    const auto reader = message.getRoot<wire::Envelope>();
    if (reader.getVersion() != WireVersion) {
        return core::notRun(core::Reason::BadRequest, "datagram of another version");
    }
    const core::HostName to(reader.getTo().cStr());
    if (!to.isEmpty() && to != self) {
        return core::notRun(core::Reason::BadRequest, "datagram for another host");
    }
    const auto payload = reader.getPayload();
    if (payload.size() > MaxPayloadBytes) {
        return core::notRun(core::Reason::BadRequest, "payload too large");
    }
    Envelope envelope;
    envelope.from = core::HostName(reader.getFrom().cStr());
    envelope.to = self;
    envelope.incarnation = reader.getIncarnation();
    envelope.sent = reader.getSent();
    envelope.kind = static_cast<MessageKind>(reader.getKind());
    const auto bytes = std::as_bytes(std::span(payload.begin(), payload.size()));
    envelope.payload.assign(bytes.begin(), bytes.end());
    return envelope;
}

} // namespace

std::vector<std::byte> sealEnvelope(const Envelope &envelope, std::string_view secret)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<wire::Envelope>();
    builder.setVersion(WireVersion);
    builder.setKind(static_cast<std::uint16_t>(envelope.kind));
    builder.setIncarnation(envelope.incarnation);
    builder.setSent(envelope.sent);
    builder.setFrom(envelope.from.text().c_str());
    builder.setTo(envelope.to.text().c_str());
    builder.setPayload(
        { reinterpret_cast<const kj::byte *>(envelope.payload.data()), envelope.payload.size() });
    const auto words = capnp::messageToFlatArray(message);
    const auto body = std::as_bytes(std::span(words.begin(), words.size()));
    const core::Sha256 mac = core::hmacSha256(secret, asText(body));
    const auto macBytes = std::as_bytes(std::span(mac));
    std::vector<std::byte> datagram(macBytes.size() + body.size());
    const auto bodyStart = std::ranges::copy(macBytes, datagram.begin()).out;
    std::ranges::copy(body, bodyStart);
    return datagram;
}

core::Result<Envelope> openEnvelope(std::span<const std::byte> datagram, std::string_view secret,
                                    const core::HostName &self)
{
    const bool hasSize = datagram.size() > MacBytes && datagram.size() <= MaxDatagramBytes;
    if (!hasSize || datagram.size() % sizeof(capnp::word) != 0) {
        return core::notRun(core::Reason::BadRequest, "datagram of a wrong size");
    }
    if (!isAuthentic(datagram, secret)) {
        return core::notRun(core::Reason::BadRequest, "datagram not authentic");
    }
    try {
        return readBody(datagram.subspan(MacBytes), self);
    } catch (const kj::Exception &) {
        return core::notRun(core::Reason::BadRequest, "malformed datagram");
    }
}

} // namespace damaskgate::peer
