#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "damaskgate/membership/membertypes.h"

namespace damaskgate::membership {

/** @return @p message as a packed Cap'n Proto message. */
std::vector<std::byte> encode(const MemberMessage &message);

/** @return the message in @p payload, or nothing when it is malformed. */
std::optional<MemberMessage> decode(std::span<const std::byte> payload);

} // namespace damaskgate::membership
