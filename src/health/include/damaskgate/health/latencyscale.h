#pragma once

#include <cstdint>

#include "damaskgate/core/time.h"

namespace damaskgate::health {

constexpr std::uint8_t LatencyBucketCount = 80; //!< four for each doubling from 100 us on

/** @return the bucket that @p latency falls into. */
std::uint8_t latencyBucket(core::Duration latency);

/** @return the upper bound of @p bucket. */
core::Duration latencyBucketUpperBound(std::uint8_t bucket);

} // namespace damaskgate::health
