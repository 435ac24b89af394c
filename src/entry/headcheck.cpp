#include "headcheck.h"

#include <algorithm>
#include <array>

namespace damaskgate::entry {

namespace {

constexpr unsigned MinFinalStatus = 200;
constexpr unsigned EndOfStatuses = 600;
constexpr unsigned SwitchingProtocolsStatus = 101;
constexpr unsigned MinErrorStatus = 400;
constexpr std::string_view VersionStart = "HTTP/1.";

// A final response needs a status from 200 to 599. An interim one is skipped, but no request asks
// to switch protocols.
bool isStatusValid(unsigned status)
{
    const bool isInterim = status / 100 == 1 && status != SwitchingProtocolsStatus;
    return isInterim || (status >= MinFinalStatus && status < EndOfStatuses);
}

bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

// Returns whether text begins with a status line up to the status, such as "HTTP/1.1 200".
bool isStatusLineStart(std::string_view text)
{
    constexpr std::size_t VersionEnd = VersionStart.size() + 1;
    constexpr std::size_t StatusEnd = VersionEnd + 4;
    return text.size() >= StatusEnd && text.starts_with(VersionStart)
        && isDigit(text[VersionStart.size()]) && text[VersionEnd] == ' '
        && std::ranges::all_of(text.substr(VersionEnd + 1, 3), isDigit);
}

// Returns whether a second status line follows the first one within the header.
bool hasSecondStatusLine(std::string_view raw)
{
    for (auto at = raw.find(VersionStart, 1); at != std::string_view::npos;
         at = raw.find(VersionStart, at + 1)) {
        if (isStatusLineStart(raw.substr(at))) {
            return true;
        }
    }
    return false;
}

bool isRepeated(const ResponseHeader &header, const std::string &name)
{
    return !name.empty() && header.count(name) > 1;
}

} // namespace

std::optional<std::string_view> findHeadFault(const ResponseHeader &header,
                                              const HeadOrigin &origin, const Dialect &dialect)
{
    if (!isStatusValid(header.result_int())) {
        return "the endpoint sent a status outside 200 to 599";
    }
    if (hasSecondStatusLine(origin.raw)) {
        return "the endpoint sent parts of two response headers as one";
    }
    const std::array singleFields { &dialect.traceField,     &dialect.exchangeField,
                                    &dialect.signatureField, &dialect.shedField,
                                    &dialect.leavingField,   &dialect.rateLimitField };
    if (std::ranges::any_of(singleFields, [&header](const std::string *name) {
            return isRepeated(header, *name);
        })) {
        return "the endpoint repeated a field that a response has once";
    }
    const bool isInterim = header.result_int() < MinFinalStatus;
    if (!isInterim && origin.isReused && dialect.isTraceEchoRequired
        && header.count(dialect.traceField) == 0) {
        return "the endpoint sent a response without an id on a connection with earlier ones";
    }
    if (header.result_int() < MinErrorStatus && header.count(dialect.shedField) > 0) {
        return "the endpoint sent a success that claims not to have run";
    }
    return std::nullopt;
}

} // namespace damaskgate::entry
