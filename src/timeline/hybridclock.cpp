#include "damaskgate/timeline/hybridclock.h"

#include <algorithm>
#include <charconv>

namespace damaskgate::timeline {

namespace {

template <typename T>
bool parseNumber(std::string_view text, T &value)
{
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end;
}

} // namespace

std::string toText(HybridTime time)
{
    return std::to_string(time.micros) + '.' + std::to_string(time.counter);
}

core::Result<HybridTime> parseHybridTime(std::string_view text)
{
    const std::size_t dot = text.find('.');
    HybridTime time;
    if (dot == std::string_view::npos || !parseNumber(text.substr(0, dot), time.micros)
        || !parseNumber(text.substr(dot + 1), time.counter)) {
        return core::notRun(core::Reason::BadRequest,
                            "expected a time as micros.counter, got " + std::string(text));
    }
    return time;
}

HybridTime HybridClock::tick(std::int64_t wallMicros)
{
    if (wallMicros > this->last.micros) {
        this->last = { wallMicros, 0 };
    } else {
        ++this->last.counter;
    }
    return this->last;
}

void HybridClock::observe(HybridTime remote, std::int64_t wallMicros)
{
    if (remote.micros > wallMicros + MaxAheadMicros) {
        return;
    }
    this->last = std::max(this->last, remote);
}

} // namespace damaskgate::timeline
