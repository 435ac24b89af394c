#include "upstreamfaults.h"

#include <algorithm>
#include <array>

#include <nlohmann/json.hpp>

namespace damaskgate::standins {

namespace {

using nlohmann::json;

template <typename T>
struct Member
{
    std::string_view name;
    T UpstreamFaults::*pointer;
};

constexpr std::array Times { Member<std::chrono::milliseconds> { "slow_ms", &UpstreamFaults::slow },
                             Member<std::chrono::milliseconds> { "late_ms",
                                                                 &UpstreamFaults::late } };

constexpr std::array Switches { Member<bool> { "hang", &UpstreamFaults::isHanging },
                                Member<bool> { "reset", &UpstreamFaults::isResetting },
                                Member<bool> { "shed", &UpstreamFaults::isShedding },
                                Member<bool> { "lie_health", &UpstreamFaults::isHealthReportFalse },
                                Member<bool> { "fail_health", &UpstreamFaults::isHealthFailing },
                                Member<bool> { "answer_twice",
                                               &UpstreamFaults::isResponseDuplicated },
                                Member<bool> { "answer_other", &UpstreamFaults::isExchangeIdWrong },
                                Member<bool> { "cut", &UpstreamFaults::isResponseTruncated } };

bool applyFault(UpstreamFaults &faults, std::string_view name, const json &value)
{
    const auto hasName = [name](const auto &member) {
        return member.name == name;
    };
    const auto *const time = std::ranges::find_if(Times, hasName);
    if (time != Times.end() && value.is_number_unsigned()) {
        faults.*(time->pointer) = std::chrono::milliseconds(value.get<std::int64_t>());
        return true;
    }
    const auto *const flag = std::ranges::find_if(Switches, hasName);
    if (flag != Switches.end() && value.is_boolean()) {
        faults.*(flag->pointer) = value.get<bool>();
        return true;
    }
    if (name == "error_rate" && value.is_number()) {
        faults.errorRate = value.get<double>();
        return true;
    }
    return false;
}

} // namespace

std::string applyFaults(UpstreamFaults &faults, const json &document)
{
    if (!document.is_object()) {
        return "an object is expected";
    }
    UpstreamFaults next = faults;
    for (const auto &[name, value] : document.items()) {
        if (!applyFault(next, name, value)) {
            return "unknown fault or wrong type: " + name;
        }
    }
    faults = next;
    return {};
}

} // namespace damaskgate::standins
