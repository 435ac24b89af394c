#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** @return @p batch as one or more payloads that each fit into a datagram. */
std::vector<std::vector<std::byte>> encodeBatch(const LeaseBatch &batch);

/** @return the batch; BadRequest when @p payload is malformed. */
core::Result<LeaseBatch> decodeBatch(std::span<const std::byte> payload);

} // namespace damaskgate::lease
