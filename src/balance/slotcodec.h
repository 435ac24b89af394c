#pragma once

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/balance/slotmessages.h"

namespace damaskgate::balance {

using SlotMessage = std::variant<SlotRequest, SlotReply>;

/** Encodes @p message as the payload of a datagram. */
std::vector<std::byte> encode(const SlotMessage &message);

/** Decodes @p payload; fails with BadRequest if it is malformed. */
core::Result<SlotMessage> decode(std::span<const std::byte> payload);

} // namespace damaskgate::balance
