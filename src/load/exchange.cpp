#include "damaskgate/load/exchange.h"

#include <algorithm>
#include <array>

namespace damaskgate::load {

namespace {

constexpr std::array OutcomeTexts {
    std::string_view("answered"), std::string_view("refused"), std::string_view("not-connected"),
    std::string_view("broken"),   std::string_view("timeout"), std::string_view("overload")
};

/** Reasons of refusals that concern one entry host and not the request. */
constexpr std::array HostReasons { std::string_view("draining"), std::string_view("settings-stale"),
                                   std::string_view("limiter-unavailable"),
                                   std::string_view("internal") };

} // namespace

std::string_view toText(Outcome outcome)
{
    return OutcomeTexts.at(static_cast<std::size_t>(outcome));
}

bool isSafeToRetryElsewhere(const ExchangeResult &result, bool isRepeatable)
{
    switch (result.outcome) {
    case Outcome::NotConnected:
        return true;
    case Outcome::Refused:
        return std::ranges::find(HostReasons, result.reason) != HostReasons.end()
            && (isRepeatable || result.verdict == "not-run");
    case Outcome::Broken:
        return isRepeatable;
    case Outcome::Answered:
    case Outcome::Timeout:
    case Outcome::Overload:
        break;
    }
    return false;
}

} // namespace damaskgate::load
