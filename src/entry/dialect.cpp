#include "damaskgate/entry/dialect.h"

#include <charconv>

namespace damaskgate::entry {

namespace {

constexpr unsigned ServiceUnavailable = 503;

template <typename T>
void readNumber(std::string_view text, std::string_view name, T &value)
{
    const auto start = text.find(name);
    if (start == std::string_view::npos) {
        return;
    }
    const auto digits = text.substr(start + name.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), value);
}

std::optional<balance::LoadReport> readOwnLoad(std::string_view text)
{
    if (text.empty()) {
        return std::nullopt;
    }
    balance::LoadReport load;
    readNumber(text, "in-flight=", load.inFlight);
    readNumber(text, "slots=", load.slots);
    readNumber(text, "incarnation=", load.incarnation);
    return load;
}

bool isOwnShed(unsigned status, std::string_view shedField)
{
    return status == ServiceUnavailable && shedField == "1";
}

Dialect makeOwnDialect()
{
    Dialect dialect;
    dialect.ownFieldPrefix = "Damaskgate-";
    dialect.endpointFieldPrefix = "Upstream-";
    dialect.keyScheme = "Bearer ";
    dialect.deadlineField = "Damaskgate-Deadline-Ms";
    dialect.traceField = "Damaskgate-Trace";
    dialect.exchangeField = "Damaskgate-Exchange";
    dialect.verdictField = "Damaskgate-Verdict";
    dialect.reasonField = "Damaskgate-Reason";
    dialect.hostField = "Damaskgate-Host";
    dialect.operationKeyField = "Operation-Key";
    dialect.loadField = "Upstream-Load";
    dialect.shedField = "Upstream-Shed";
    dialect.readLoad = readOwnLoad;
    dialect.isShed = isOwnShed;
    return dialect;
}

} // namespace

const Dialect &ownDialect()
{
    static const Dialect own = makeOwnDialect();
    return own;
}

} // namespace damaskgate::entry
