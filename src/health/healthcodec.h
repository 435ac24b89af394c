#pragma once

#include <cstddef>
#include <span>
#include <variant>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

using HealthMessage = std::variant<EvidenceReport, EjectionUpdate>;

/** @return @p message as the payload of a datagram. */
std::vector<std::byte> encode(const HealthMessage &message);

/** @return the message in @p payload, or BadRequest if the payload is malformed. */
core::Result<HealthMessage> decode(std::span<const std::byte> payload);

} // namespace damaskgate::health
