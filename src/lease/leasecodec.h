#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "damaskgate/core/error.h"

#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** @return @p batch encoded as payloads that each fit into a datagram; none if it is empty. */
std::vector<std::vector<std::byte>> encodeBatch(const LeaseBatch &batch);

/** @return the decoded batch, or BadRequest if @p payload is malformed. */
core::Result<LeaseBatch> decodeBatch(std::span<const std::byte> payload);

} // namespace damaskgate::lease
