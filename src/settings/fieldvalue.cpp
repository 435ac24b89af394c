#include "fieldvalue.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <optional>
#include <ranges>

#include <arpa/inet.h>

#include "damaskgate/settings/manifest.h"

#include "jsontext.h"

namespace damaskgate::settings {

namespace {

using nlohmann::json;

constexpr std::size_t MaxNameBytes = 64;
constexpr std::string_view KeyHashPrefix = "sha256:";

struct DurationUnit
{
    std::string_view text;
    core::Duration length;
};

constexpr std::array DurationUnits {
    DurationUnit { "us", std::chrono::microseconds(1) },
    DurationUnit { "ms", std::chrono::milliseconds(1) },
    DurationUnit { "s", std::chrono::seconds(1) },
    DurationUnit { "min", std::chrono::minutes(1) },
    DurationUnit { "h", std::chrono::hours(1) },
};

struct RateUnit
{
    std::string_view text;
    double perSecond;
};

constexpr std::array RateUnits {
    RateUnit { "/s", 1.0 },
    RateUnit { "/min", 1.0 / 60 },
    RateUnit { "/h", 1.0 / 3600 },
};

constexpr std::array<std::string_view, 7> KnownMethods { "DELETE", "GET",  "HEAD", "OPTIONS",
                                                         "PATCH",  "POST", "PUT" };

bool isLowerHex(std::string_view text)
{
    return std::ranges::all_of(
        text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

bool isHashText(std::string_view text)
{
    return text.size() == 2 * core::Sha256 {}.size() && isLowerHex(text);
}

core::Sha256 hashFromHex(std::string_view text)
{
    core::Sha256 hash {};
    for (std::size_t i = 0; i < hash.size(); ++i) {
        const std::string_view digits = text.substr(2 * i, 2);
        std::from_chars(digits.data(), digits.data() + digits.size(), hash.at(i), 16);
    }
    return hash;
}

//! Splits "250ms" into its number and its unit.
template <typename Number>
std::optional<std::pair<Number, std::string_view>> splitUnit(std::string_view text)
{
    Number number {};
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc {}) {
        return std::nullopt;
    }
    return std::pair(number, std::string_view(result.ptr, end));
}

std::optional<core::Duration> durationFromText(std::string_view text)
{
    const auto parts = splitUnit<std::uint32_t>(text);
    if (!parts) {
        return std::nullopt;
    }
    const auto *unit = std::ranges::find(DurationUnits, parts->second, &DurationUnit::text);
    if (unit == DurationUnits.end()) {
        return std::nullopt;
    }
    if (parts->first > core::Duration::max() / unit->length) {
        return std::nullopt;
    }
    return unit->length * std::int64_t { parts->first };
}

std::optional<double> rateFromText(std::string_view text)
{
    const auto parts = splitUnit<double>(text);
    if (!parts || !std::isfinite(parts->first)) {
        return std::nullopt;
    }
    const auto *unit = std::ranges::find(RateUnits, parts->second, &RateUnit::text);
    if (unit == RateUnits.end()) {
        return std::nullopt;
    }
    return parts->first * unit->perSecond;
}

std::string durationToText(core::Duration duration)
{
    const auto fits = [duration](const DurationUnit &unit) {
        return duration % unit.length == core::Duration::zero();
    };
    if (duration == core::Duration::zero()) {
        return "0s";
    }
    for (const DurationUnit &unit : DurationUnits | std::views::reverse) {
        if (fits(unit)) {
            return std::to_string(duration / unit.length) + std::string(unit.text);
        }
    }
    return std::to_string(duration.count()) + "ns";
}

std::string numberToText(double number)
{
    return json(number).dump();
}

} // namespace

bool isValidName(std::string_view text)
{
    const auto isLetterOrDigit = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
    };
    const auto isAllowed = [&](char c) {
        return isLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= MaxNameBytes && isLetterOrDigit(text.front())
        && std::ranges::all_of(text, isAllowed);
}

FieldValue::FieldValue(const json &value, const std::string &file, std::string path,
                       Findings &findings)
    : value(value), file(file), path(std::move(path)), findings(findings)
{}

void FieldValue::readBool(bool &out) const
{
    if (!this->value.is_boolean()) {
        this->reportWithValue("true or false");
        return;
    }
    out = this->value.get<bool>();
}

void FieldValue::readNumber(double &out, double lowest, double highest) const
{
    const bool isInRange = this->value.is_number() && this->value.get<double>() >= lowest
        && this->value.get<double>() <= highest;
    if (!isInRange) {
        this->reportWithValue("a number from " + numberToText(lowest) + " to "
                              + numberToText(highest));
        return;
    }
    out = this->value.get<double>();
}

bool FieldValue::readUnsigned(std::uint64_t &out, std::uint64_t lowest, std::uint64_t highest) const
{
    const bool isInRange = this->value.is_number_unsigned()
        && this->value.get<std::uint64_t>() >= lowest
        && this->value.get<std::uint64_t>() <= highest;
    if (!isInRange) {
        this->reportWithValue("a whole number from " + std::to_string(lowest) + " to "
                              + std::to_string(highest));
        return false;
    }
    out = this->value.get<std::uint64_t>();
    return true;
}

void FieldValue::readText(std::string &out) const
{
    if (const std::string *text = this->textOrReport("a string")) {
        out = *text;
    }
}

bool FieldValue::readNameText(std::string &out) const
{
    const std::string expected = "a name of lower-case letters, digits, '-', '_' and '.'";
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return false;
    }
    if (!isValidName(*text)) {
        this->reportWithValue(expected);
        return false;
    }
    out = *text;
    return true;
}

void FieldValue::readDuration(core::Duration &out, core::Duration lowest,
                              core::Duration highest) const
{
    const std::string expected = "a duration with its unit (us, ms, s, min, h) from "
        + durationToText(lowest) + " to " + durationToText(highest);
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return;
    }
    const auto duration = durationFromText(*text);
    if (!duration || *duration < lowest || *duration > highest) {
        this->reportWithValue(expected);
        return;
    }
    out = *duration;
}

void FieldValue::readRate(double &out, double lowest, double highest) const
{
    const std::string expected = "a rate with its unit (/s, /min, /h) from " + numberToText(lowest)
        + "/s to " + numberToText(highest) + "/s";
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return;
    }
    const auto rate = rateFromText(*text);
    if (!rate || *rate < lowest || *rate > highest) {
        this->reportWithValue(expected);
        return;
    }
    out = *rate;
}

void FieldValue::readAddress(std::string &out) const
{
    const std::string expected = "an IP address";
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return;
    }
    std::array<unsigned char, sizeof(in6_addr)> parsed {};
    const bool isAddress = inet_pton(AF_INET, text->c_str(), parsed.data()) == 1
        || inet_pton(AF_INET6, text->c_str(), parsed.data()) == 1;
    if (!isAddress) {
        this->reportWithValue(expected);
        return;
    }
    out = *text;
}

void FieldValue::readPathPrefix(std::string &out) const
{
    const std::string expected = "a path that starts with '/' and has no query, fragment or space";
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return;
    }
    const auto isAllowed = [](unsigned char c) {
        return c > ' ' && c < 0x7f && c != '?' && c != '#';
    };
    if (!text->starts_with('/') || !std::ranges::all_of(*text, isAllowed)) {
        this->reportWithValue(expected);
        return;
    }
    const bool isRoot = text->size() == 1;
    out = !isRoot && text->ends_with('/') ? text->substr(0, text->size() - 1) : *text;
}

void FieldValue::readMethods(std::vector<std::string> &out) const
{
    out.clear();
    for (const FieldValue &element : this->elements()) {
        const bool isKnown = element.value.is_string()
            && std::ranges::find(KnownMethods, element.value.get_ref<const std::string &>())
                != KnownMethods.end();
        if (!isKnown) {
            element.reportWithValue("DELETE, GET, HEAD, OPTIONS, PATCH, POST or PUT");
            continue;
        }
        out.push_back(element.value.get<std::string>());
    }
}

void FieldValue::readKeyHashes(std::vector<core::Sha256> &out) const
{
    out.clear();
    for (const FieldValue &element : this->elements()) {
        const std::string text =
            element.value.is_string() ? element.value.get<std::string>() : std::string();
        if (!text.starts_with(KeyHashPrefix) || !isHashText(text.substr(KeyHashPrefix.size()))) {
            element.report("\"sha256:\" and 64 lower-case hexadecimal digits, never the key itself "
                           "(see damaskgate-ctl key new)");
            continue;
        }
        out.push_back(hashFromHex(text.substr(KeyHashPrefix.size())));
    }
}

void FieldValue::readHexHash(std::string &out) const
{
    const std::string expected = "a SHA-256 hash of 64 lower-case hexadecimal digits";
    const std::string *text = this->textOrReport(expected);
    if (text == nullptr) {
        return;
    }
    if (!isHashText(*text)) {
        this->reportWithValue(expected);
        return;
    }
    out = *text;
}

std::vector<FieldValue> FieldValue::elements() const
{
    std::vector<FieldValue> list;
    if (!this->value.is_array()) {
        this->reportWithValue("a list");
        return list;
    }
    list.reserve(this->value.size());
    for (const json &element : this->value) {
        list.emplace_back(element, this->file, childPath(this->path, std::to_string(list.size())),
                          this->findings);
    }
    return list;
}

void FieldValue::report(const std::string &expected) const
{
    this->findings.push_back(
        { this->file, this->path, "expected " + expected + ", found something else" });
}

void FieldValue::reportWithValue(const std::string &expected) const
{
    constexpr std::size_t MaxQuotedBytes = 60;
    std::string found =
        this->value.is_structured() ? describeType(this->value) : this->value.dump();
    if (found.size() > MaxQuotedBytes) {
        found = describeType(this->value);
    }
    this->findings.push_back(
        { this->file, this->path, "expected " + expected + ", found " + found });
}

const std::string *FieldValue::textOrReport(const std::string &expected) const
{
    if (!this->value.is_string()) {
        this->reportWithValue(expected);
        return nullptr;
    }
    return this->value.get_ptr<const std::string *>();
}

} // namespace damaskgate::settings
