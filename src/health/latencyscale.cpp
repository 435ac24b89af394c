#include "damaskgate/health/latencyscale.h"

#include <algorithm>
#include <cmath>

namespace damaskgate::health {

namespace {

constexpr std::chrono::microseconds MinLatency { 100 };
constexpr double BucketsPerDoubling = 4;

} // namespace

std::uint8_t latencyBucket(core::Duration latency)
{
    const std::chrono::duration<double> smallest = MinLatency;
    const double ratio = std::chrono::duration<double>(latency) / smallest;
    const double index = ratio <= 1 ? 0 : std::floor(std::log2(ratio) * BucketsPerDoubling);
    return static_cast<std::uint8_t>(std::min(index, LatencyBucketCount - 1.0));
}

core::Duration latencyBucketUpperBound(std::uint8_t bucket)
{
    const double factor = std::exp2((bucket + 1) / BucketsPerDoubling);
    const std::chrono::duration<double, std::micro> bound(MinLatency.count() * factor);
    return std::chrono::duration_cast<core::Duration>(bound);
}

} // namespace damaskgate::health
