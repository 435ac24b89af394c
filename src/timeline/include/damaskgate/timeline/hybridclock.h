#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "damaskgate/core/error.h"

namespace damaskgate::timeline {

/** Hybrid logical time: follows the wall clock and never contradicts cause and effect. */
struct HybridTime
{
    std::int64_t micros = 0; //!< since the epoch
    std::uint32_t counter = 0; //!< orders what falls into one microsecond

    auto operator<=>(const HybridTime &) const = default;
};

/** @return @p time as `micros.counter`. */
std::string toText(HybridTime time);

/** @return the time that toText() wrote, or an error. */
core::Result<HybridTime> parseHybridTime(std::string_view text);

/** Issues hybrid times that rise strictly. Knows no clock; not safe for several threads. */
class HybridClock
{
public:
    /** A remote time further ahead of the local wall clock is not followed. */
    static constexpr std::int64_t MaxAheadMicros { 60'000'000 };

    /** @return the time of a local event at wall time @p wallMicros. */
    HybridTime tick(std::int64_t wallMicros);

    /** Makes later times follow @p remote, which came with a message from another process. */
    void observe(HybridTime remote, std::int64_t wallMicros);

private:
    HybridTime last;
};

} // namespace damaskgate::timeline
