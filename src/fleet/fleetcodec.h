#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** @return @p heartbeat encoded as the payload of a datagram. */
std::vector<std::byte> encode(const Heartbeat &heartbeat);

/** @return the message in @p payload, or BadRequest when it is malformed. */
core::Result<Heartbeat> decode(std::span<const std::byte> payload);

} // namespace damaskgate::fleet
