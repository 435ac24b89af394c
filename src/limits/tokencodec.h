#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/limits/tokenmessages.h"

namespace damaskgate::limits {

/** @return @p messages encoded as payloads, each small enough for one datagram. */
std::vector<std::vector<std::byte>> encodeMessages(std::span<const TokenMessage> messages);

/** @return the decoded messages, or BadRequest if @p payload is malformed. */
core::Result<std::vector<TokenMessage>> decodeMessages(std::span<const std::byte> payload);

} // namespace damaskgate::limits
