#include "damaskgate/core/event.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace damaskgate::core {

namespace {

bool needsQuotes(std::string_view value)
{
    const auto isSpecial = [](unsigned char c) {
        return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
    };
    return value.empty() || std::ranges::any_of(value, isSpecial);
}

void appendEscaped(std::string &line, unsigned char c)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    if (c == '"' || c == '\\') {
        line += '\\';
        line += static_cast<char>(c);
        return;
    }
    if (c >= ' ' && c != 0x7f) {
        line += static_cast<char>(c);
        return;
    }
    line += "\\x";
    line += Digits[c >> 4U];
    line += Digits[c & 0xfU];
}

void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    std::ranges::for_each(value, [&line](unsigned char c) { appendEscaped(line, c); });
    line += '"';
}

std::string limitValue(std::string_view value)
{
    constexpr std::string_view Ellipsis = "...";
    return value.size() <= EventField::MaxValueBytes
        ? std::string(value)
        : std::string(value.substr(0, EventField::MaxValueBytes - Ellipsis.size()))
            + std::string(Ellipsis);
}

std::string doubleToText(double value)
{
    std::array<char, 32> buffer {};
    const auto result = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return { buffer.data(), result.ptr };
}

} // namespace

EventField::EventField(std::string_view key, std::string_view value)
    : key(key), value(limitValue(value))
{}

EventField::EventField(std::string_view key, const char *value)
    : EventField(key, std::string_view(value))
{}

EventField::EventField(std::string_view key, bool value)
    : EventField(key, value ? std::string_view("true") : std::string_view("false"))
{}

EventField::EventField(std::string_view key, double value) : key(key), value(doubleToText(value)) {}

void NullEventSink::record(const Event & /*event*/) {}

std::string toLine(const Event &event)
{
    std::string line = "event=";
    appendValue(line, event.name);
    for (const EventField &field : event.fields) {
        line += ' ';
        line += field.key;
        line += '=';
        appendValue(line, field.value);
    }
    return line;
}

} // namespace damaskgate::core
