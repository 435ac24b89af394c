#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** @return @p beat as the payload of a datagram. */
std::vector<std::byte> encode(const Beat &beat);

/** @return the beat in @p payload, or BadRequest when it is malformed. */
core::Result<Beat> decode(std::span<const std::byte> payload);

} // namespace damaskgate::fleet
