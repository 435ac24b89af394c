#pragma once

#include <cstdint>

#include "damaskgate/core/time.h"

namespace damaskgate::health {

/** Number of histogram buckets: four for each doubling of the latency, from 100 us. */
constexpr std::uint8_t LatencyBucketCount = 80;

/** @return the bucket that @p latency falls into; the last one if it exceeds the scale. */
std::uint8_t latencyBucket(core::Duration latency);

core::Duration latencyBucketUpperBound(std::uint8_t bucket);

} // namespace damaskgate::health
