#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/limits/tokenmessages.h"

namespace damaskgate::limits {

/** @return @p messages as one or more payloads that each fit into a datagram. */
std::vector<std::vector<std::byte>> encodeMessages(std::span<const TokenMessage> messages);

/** @return the messages; BadRequest when @p payload is malformed. */
core::Result<std::vector<TokenMessage>> decodeMessages(std::span<const std::byte> payload);

} // namespace damaskgate::limits
