#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"

#include "damaskgate/peer/ipeernetwork.h"

namespace damaskgate::peer {

constexpr std::size_t MaxPayloadBytes = 1200;
constexpr std::size_t MaxDatagramBytes = 1472; //!< fits an Ethernet frame with IPv4 and UDP headers

/** Header fields and payload of a datagram between hosts. */
struct Envelope
{
    core::HostName from;
    core::HostName to; //!< receiver; empty: any host
    std::uint64_t incarnation = 0; //!< incarnation of the sending process
    std::uint64_t sequenceNumber = 0; //!< number of envelopes the process sent before this one
    MessageKind kind = MessageKind::Heartbeat;
    std::vector<std::byte> payload;
};

/**
 * Encodes and signs an envelope.
 *
 * @param envelope envelope with a payload of at most MaxPayloadBytes
 * @param secret shared secret of the fleet
 * @return the datagram: HMAC-SHA-256 of the body, truncated to 128 bits, followed by the body
 */
std::vector<std::byte> sealEnvelope(const Envelope &envelope, std::string_view secret);

/**
 * Authenticates and decodes a datagram from an untrusted source.
 *
 * @param datagram bytes as received
 * @param secret shared secret of the fleet
 * @param self name of this host
 * @return the envelope, or BadRequest when the datagram is malformed, of an unsupported version,
 *         not authentic, oversized or addressed to another host
 */
core::Result<Envelope> openEnvelope(std::span<const std::byte> datagram, std::string_view secret,
                                    const core::HostName &self);

} // namespace damaskgate::peer
