#include "damaskgate/peer/envelope.h"

#include <algorithm>
#include <exception>
#include <iterator>
#include <utility>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>

#include "damaskgate/core/hash.h"

#include "envelope.capnp.h"

namespace damaskgate::peer {

namespace {

constexpr std::uint16_t WireVersion = 2;
constexpr std::size_t MacBytes = 16; // HMAC-SHA-256-128, RFC 4868
constexpr std::uint64_t MaxWordsRead = 512;

std::string_view asText(std::span<const std::byte> bytes)
{
    return { reinterpret_cast<const char *>(bytes.data()), bytes.size() };
}

bool isAuthentic(std::span<const std::byte> datagram, std::string_view secret)
{
    const core::Sha256 expected = core::hmacSha256(secret, asText(datagram.subspan(MacBytes)));
    const std::span mac(reinterpret_cast<const std::uint8_t *>(datagram.data()), MacBytes);
    return core::equalInConstantTime(mac, std::span(expected).first(MacBytes));
}

core::Result<Envelope> readBody(std::span<const std::byte> body, const core::HostName &self)
{
    kj::ArrayInputStream stream({ reinterpret_cast<const kj::byte *>(body.data()), body.size() });
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxWordsRead;
    capnp::PackedMessageReader message(stream, options);
    const auto reader = message.getRoot<wire::Envelope>();
    if (reader.getVersion() != WireVersion) {
        return core::notRun(core::Reason::BadRequest, "unsupported envelope version");
    }
    const core::HostName to(reader.getTo().cStr());
    if (!to.isEmpty() && to != self) {
        return core::notRun(core::Reason::BadRequest, "datagram is addressed to another host");
    }
    const auto payload = reader.getPayload();
    if (payload.size() > MaxPayloadBytes) {
        return core::notRun(core::Reason::BadRequest, "payload too large");
    }
    Envelope envelope;
    envelope.from = core::HostName(reader.getFrom().cStr());
    envelope.to = self;
    envelope.incarnation = reader.getIncarnation();
    envelope.sequenceNumber = reader.getSent();
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
    builder.setSent(envelope.sequenceNumber);
    builder.setFrom(envelope.from.text().c_str());
    builder.setTo(envelope.to.text().c_str());
    builder.setPayload(
        { reinterpret_cast<const kj::byte *>(envelope.payload.data()), envelope.payload.size() });
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto packed = stream.getArray();
    const auto body = std::as_bytes(std::span(packed.begin(), packed.size()));
    const core::Sha256 mac = core::hmacSha256(secret, asText(body));
    const auto macBytes = std::as_bytes(std::span(mac)).first(MacBytes);
    std::vector<std::byte> datagram(macBytes.size() + body.size());
    const auto bodyStart = std::ranges::copy(macBytes, datagram.begin()).out;
    std::ranges::copy(body, bodyStart);
    return datagram;
}

core::Result<Envelope> openEnvelope(std::span<const std::byte> datagram, std::string_view secret,
                                    const core::HostName &self)
{
    if (datagram.size() <= MacBytes || datagram.size() > MaxDatagramBytes) {
        return core::notRun(core::Reason::BadRequest, "datagram size out of range");
    }
    if (!isAuthentic(datagram, secret)) {
        return core::notRun(core::Reason::BadRequest, "datagram authentication failed");
    }
    try {
        return readBody(datagram.subspan(MacBytes), self);
    } catch (const kj::Exception &) {
        return core::notRun(core::Reason::BadRequest, "malformed datagram");
    }
}

} // namespace damaskgate::peer
