#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/membership/membertypes.h"

namespace damaskgate::membership {

/** @return @p message as a packed Cap'n Proto message. */
std::vector<std::byte> encode(const MemberMessage &message);

/** @return the message in @p payload, or BadRequest when it is malformed. */
core::Result<MemberMessage> decode(std::span<const std::byte> payload);

} // namespace damaskgate::membership
