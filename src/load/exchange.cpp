#include "damaskgate/load/exchange.h"

#include <algorithm>
#include <array>

namespace damaskgate::load {

namespace {

constexpr std::array EndingTexts {
    std::string_view("answered"), std::string_view("refused"), std::string_view("not-connected"),
    std::string_view("broken"),   std::string_view("timeout"), std::string_view("overload")
};

/** Reasons that concern one entry host and not the request. */
constexpr std::array HostReasons { std::string_view("draining"), std::string_view("settings-stale"),
                                   std::string_view("limiter-unavailable"),
                                   std::string_view("internal") };

} // namespace

std::string_view toText(Ending ending)
{
    return EndingTexts.at(static_cast<std::size_t>(ending));
}

bool isSafeElsewhere(const ExchangeResult &result, bool isRepeatable)
{
    switch (result.ending) {
    case Ending::NotConnected:
        return true;
    case Ending::Refused:
        return std::ranges::find(HostReasons, result.reason) != HostReasons.end()
            && (isRepeatable || result.verdict == "not-run");
    case Ending::Broken:
        return isRepeatable;
    case Ending::Answered:
    case Ending::Timeout:
    case Ending::Overload:
        break;
    }
    return false;
}

} // namespace damaskgate::load
