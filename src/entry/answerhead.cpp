#include "answerhead.h"

#include <charconv>

#include "fieldnames.h"
#include "headerrules.h"

namespace damaskgate::entry {

namespace {

bool hasNoBody(const AnswerParser &parser, bool isHeadRequest)
{
    const auto status = parser.get().result_int();
    return isHeadRequest || status == 204 || status == 304;
}

bool isPassedOn(const http::fields::value_type &field, const HopByHopFilter &hopByHop)
{
    const auto name = toView(field.name_string());
    return field.name() != http::field::content_length && !hasNamePrefix(name, OwnFieldPrefix)
        && !hasNamePrefix(name, UpstreamFieldPrefix) && !hopByHop.isDropped(field);
}

void appendFraming(std::string &head, const AnswerParser &parser, AnswerFraming framing)
{
    const auto length = parser.content_length();
    const bool isLengthMeant = framing == AnswerFraming::Length
        || (framing == AnswerFraming::None && parser.get().result_int() != 204);
    if (isLengthMeant && length) {
        appendField(head, "Content-Length", std::to_string(*length));
    }
    if (framing == AnswerFraming::Chunked) {
        appendField(head, "Transfer-Encoding", "chunked");
    }
}

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

} // namespace

AnswerFraming chooseFraming(const AnswerParser &parser, bool isHeadRequest, unsigned callerVersion)
{
    if (hasNoBody(parser, isHeadRequest)) {
        return AnswerFraming::None;
    }
    if (parser.content_length()) {
        return AnswerFraming::Length;
    }
    return callerVersion >= 11 ? AnswerFraming::Chunked : AnswerFraming::UntilClose;
}

std::string makeAnswerHead(const AnswerParser &parser, AnswerFraming framing,
                           std::string_view traceId, bool isClosing)
{
    const auto &header = parser.get();
    std::string head = "HTTP/1.1 " + std::to_string(header.result_int()) + " ";
    head += toView(header.reason());
    head += "\r\n";
    const HopByHopFilter hopByHop(header);
    for (const auto &field : header) {
        if (isPassedOn(field, hopByHop)) {
            appendField(head, toView(field.name_string()), toView(field.value()));
        }
    }
    appendField(head, "Via", ViaValue);
    appendField(head, TraceField, traceId);
    appendFraming(head, parser, framing);
    if (isClosing) {
        appendField(head, "Connection", "close");
    }
    head += "\r\n";
    return head;
}

std::optional<balance::LoadReport> readLoad(const AnswerHeader &header)
{
    const auto text = toView(header[LoadField]);
    if (text.empty()) {
        return std::nullopt;
    }
    balance::LoadReport load;
    readNumber(text, "in-flight=", load.inFlight);
    readNumber(text, "slots=", load.slots);
    readNumber(text, "incarnation=", load.incarnation);
    return load;
}

bool isShed(const AnswerHeader &header)
{
    return header.result_int() == 503 && header[ShedField] == "1";
}

} // namespace damaskgate::entry
