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
constexpr std::size_t MaxDatagramBytes = 1472;

/** What every datagram between hosts carries around its payload. */
struct Envelope
{
    core::HostName from;
    core::HostName to; //!< empty: any host
    std::uint64_t incarnation = 0; //!< of the sending process
    std::uint64_t sent = 0; //!< datagrams that the sending process has sent before
    MessageKind kind = MessageKind::Heartbeat;
    std::vector<std::byte> payload;
};

/**
 * Writes an envelope as a datagram: HMAC-SHA-256 of the body, then the body.
 *
 * @param envelope its payload has at most MaxPayloadBytes
 * @param secret of the fleet
 * @return the datagram
 */
std::vector<std::byte> sealEnvelope(const Envelope &envelope, std::string_view secret);

/**
 * Reads a datagram of any origin.
 *
 * @param datagram as received
 * @param secret of the fleet
 * @param self host that the datagram must be meant for
 * @return the envelope; BadRequest for a datagram that is malformed, of another version, not
 *         authentic, oversized or meant for another host
 */
core::Result<Envelope> openEnvelope(std::span<const std::byte> datagram, std::string_view secret,
                                    const core::HostName &self);

} // namespace damaskgate::peer
