#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskgate/core/error.h"

namespace damaskgate::timeline {

/** Hybrid logical clock time: close to the wall clock and consistent with causality. */
struct HybridTime
{
    std::int64_t micros = 0; //!< microseconds since 1970
    std::uint32_t counter = 0; //!< orders events within one microsecond

    auto operator<=>(const HybridTime &) const = default;
};

/** @return @p time as `micros.counter`. */
std::string toText(HybridTime time);

/** @return the time in the format of toText(), or BadRequest. */
core::Result<HybridTime> parseHybridTime(std::string_view text);

/**
 * Issues strictly increasing hybrid times. The caller passes the wall-clock time. Not thread-safe.
 */
class HybridClock
{
public:
    /** Remote times that are further ahead of the local wall clock are ignored. */
    static constexpr std::int64_t MaxAheadMicros { 60'000'000 };

    /** @return the time of a local event that occurs at wall-clock time @p wallMicros. */
    HybridTime tick(std::int64_t wallMicros);

    /** Makes all later times greater than @p remote, the time in a message from another process. */
    void observe(HybridTime remote, std::int64_t wallMicros);

private:
    HybridTime last;
};

} // namespace damaskgate::timeline
