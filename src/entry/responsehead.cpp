#include "responsehead.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "fieldnames.h"
#include "headerrules.h"

namespace damaskgate::entry {

namespace {

constexpr std::string_view FlagSet = "1"; // value of a field that announces a state

constexpr unsigned ServiceUnavailableStatus = 503;
constexpr std::chrono::hours MaxPause { 1 }; // limit of a Retry-After field that is believed

// Parses a number that is not negative, with or without decimals.
std::optional<double> readNumber(std::string_view text)
{
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const bool isNumber = parsed.ec == std::errc {} && parsed.ptr == text.data() + text.size();
    return isNumber && number >= 0 ? std::optional(number) : std::nullopt;
}

// Parses a Retry-After field in seconds; the form with a date is ignored.
std::optional<std::chrono::milliseconds> readPause(std::string_view text)
{
    const auto seconds = readNumber(text);
    if (!seconds) {
        return std::nullopt;
    }
    const std::chrono::duration<double> pause(
        std::min(*seconds, std::chrono::duration<double>(MaxPause).count()));
    return std::chrono::ceil<std::chrono::milliseconds>(pause);
}

bool hasNoBody(const ResponseParser &parser, bool isHeadRequest)
{
    const auto status = parser.get().result_int();
    return isHeadRequest || status == 204 || status == 304;
}

bool isForwarded(const http::fields::value_type &field, const HopByHopFilter &hopByHop,
                 const Dialect &dialect)
{
    const auto name = toView(field.name_string());
    const auto isSame = [name](std::string_view other) {
        return beast::iequals(name, other);
    };
    const bool isReserved = hasNamePrefix(name, dialect.ownFieldPrefix)
        || hasNamePrefix(name, dialect.endpointFieldPrefix);
    const bool isDelivered = !isReserved || std::ranges::any_of(dialect.deliveredFields, isSame);
    return field.name() != http::field::content_length && isDelivered && !hopByHop.isDropped(field);
}

void appendFraming(std::string &head, const ResponseParser &parser, ResponseFraming framing)
{
    const auto length = parser.content_length();
    const bool isLengthSent = framing == ResponseFraming::Length
        || (framing == ResponseFraming::None && parser.get().result_int() != 204);
    if (isLengthSent && length) {
        appendField(head, "Content-Length", std::to_string(*length));
    }
    if (framing == ResponseFraming::Chunked) {
        appendField(head, "Transfer-Encoding", "chunked");
    }
}

} // namespace

ResponseFraming chooseFraming(const ResponseParser &parser, bool isHeadRequest,
                              unsigned callerVersion)
{
    if (hasNoBody(parser, isHeadRequest)) {
        return ResponseFraming::None;
    }
    if (parser.content_length()) {
        return ResponseFraming::Length;
    }
    return callerVersion >= 11 ? ResponseFraming::Chunked : ResponseFraming::UntilClose;
}

std::string makeResponseFields(const ResponseParser &parser, std::string_view traceId,
                               const Dialect &dialect)
{
    const auto &header = parser.get();
    std::string head = "HTTP/1.1 " + std::to_string(header.result_int()) + " ";
    head += toView(header.reason());
    head += "\r\n";
    const HopByHopFilter hopByHop(header);
    for (const auto &field : header) {
        if (isForwarded(field, hopByHop, dialect)) {
            appendField(head, toView(field.name_string()), toView(field.value()));
        }
    }
    appendField(head, "Via", ViaValue);
    appendField(head, dialect.traceField, traceId);
    return head;
}

std::string makeResponseHead(const ResponseParser &parser, ResponseFraming framing,
                             std::string_view traceId, bool isClosing, const Dialect &dialect)
{
    std::string head = makeResponseFields(parser, traceId, dialect);
    appendFraming(head, parser, framing);
    if (isClosing) {
        appendField(head, "Connection", "close");
    }
    head += "\r\n";
    return head;
}

std::string makeSizedResponse(std::string fields, std::string_view body, std::size_t length,
                              bool isClosing)
{
    std::string message = std::move(fields);
    appendField(message, "Content-Length", std::to_string(length));
    if (isClosing) {
        appendField(message, "Connection", "close");
    }
    message += "\r\n";
    message += body;
    return message;
}

std::optional<balance::LoadReport> readLoad(const ResponseHeader &header, const Dialect &dialect)
{
    return dialect.readLoad(toView(header[dialect.loadField]));
}

balance::EndpointNotice readNotice(const ResponseHeader &header, const Dialect &dialect)
{
    balance::EndpointNotice notice;
    notice.isLeaving =
        !dialect.leavingField.empty() && toView(header[dialect.leavingField]) == FlagSet;
    if (header.result_int() == ServiceUnavailableStatus) {
        notice.pause = readPause(toView(header[http::field::retry_after]));
    }
    if (!dialect.rateLimitField.empty()) {
        notice.requestsPerSecond = readNumber(toView(header[dialect.rateLimitField]));
    }
    return notice;
}

bool isShed(const ResponseHeader &header, const Dialect &dialect)
{
    return dialect.isShed(header.result_int(), toView(header[dialect.shedField]));
}

} // namespace damaskgate::entry
