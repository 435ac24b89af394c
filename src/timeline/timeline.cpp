#include "damaskgate/timeline/timeline.h"

#include <algorithm>
#include <charconv>
#include <istream>
#include <iterator>
#include <ostream>
#include <ranges>
#include <tuple>

namespace damaskgate::timeline {

namespace {

core::Result<char> parseEscape(std::string_view &rest)
{
    if (rest.starts_with('x') && rest.size() >= 3) {
        unsigned value = 0;
        const char *end = rest.data() + 3;
        const auto result = std::from_chars(rest.data() + 1, end, value, 16);
        if (result.ec != std::errc() || result.ptr != end) {
            return core::notRun(core::Reason::BadRequest, "invalid escape sequence");
        }
        rest.remove_prefix(3);
        return static_cast<char>(value);
    }
    if (rest.starts_with('"') || rest.starts_with('\\')) {
        const char c = rest.front();
        rest.remove_prefix(1);
        return c;
    }
    return core::notRun(core::Reason::BadRequest, "invalid escape sequence");
}

core::Result<std::string> parseQuoted(std::string_view &rest)
{
    std::string value;
    while (!rest.empty()) {
        const char c = rest.front();
        rest.remove_prefix(1);
        if (c == '"') {
            return value;
        }
        if (c != '\\') {
            value += c;
            continue;
        }
        const core::Result<char> escaped = parseEscape(rest);
        if (!escaped) {
            return tl::unexpected(escaped.error());
        }
        value += *escaped;
    }
    return core::notRun(core::Reason::BadRequest, "unterminated quoted value");
}

core::Result<std::string> parseValue(std::string_view &rest)
{
    if (rest.starts_with('"')) {
        rest.remove_prefix(1);
        return parseQuoted(rest);
    }
    const std::size_t length = std::min(rest.find(' '), rest.size());
    std::string value(rest.substr(0, length));
    rest.remove_prefix(length);
    return value;
}

core::Result<std::vector<core::EventField>> parseFields(std::string_view rest)
{
    std::vector<core::EventField> fields;
    while (!rest.empty()) {
        const std::size_t equals = rest.find('=');
        if (equals == 0 || equals == std::string_view::npos) {
            return core::notRun(core::Reason::BadRequest, "expected key=value");
        }
        const std::string_view key = rest.substr(0, equals);
        rest.remove_prefix(equals + 1);
        const core::Result<std::string> value = parseValue(rest);
        if (!value) {
            return tl::unexpected(value.error());
        }
        fields.emplace_back(key, std::string_view(*value));
        if (!rest.empty() && rest.front() != ' ') {
            return core::notRun(core::Reason::BadRequest, "expected a space after a value");
        }
        rest.remove_prefix(std::min<std::size_t>(rest.size(), 1));
    }
    return fields;
}

/** Removes the first field named @p key. @return its value; empty if there is no such field. */
std::string extractField(std::vector<core::EventField> &fields, std::string_view key)
{
    const auto found = std::ranges::find(fields, key, &core::EventField::key);
    if (found == fields.end()) {
        return {};
    }
    std::string value = std::move(found->value);
    fields.erase(found);
    return value;
}

bool matchesCriterion(const std::string &wanted, std::string_view value)
{
    return wanted.empty() || wanted == value;
}

} // namespace

std::optional<std::string_view> TimelineEntry::field(std::string_view key) const
{
    const auto found = std::ranges::find(this->fields, key, &core::EventField::key);
    if (found == this->fields.end()) {
        return std::nullopt;
    }
    return found->value;
}

core::Result<TimelineEntry> parseLine(std::string_view line)
{
    core::Result<std::vector<core::EventField>> fields = parseFields(line);
    if (!fields) {
        return tl::unexpected(fields.error());
    }
    const core::Result<HybridTime> time = parseHybridTime(extractField(*fields, "hlc"));
    if (!time) {
        return tl::unexpected(time.error());
    }
    TimelineEntry entry;
    entry.time = *time;
    extractField(*fields, "time");
    entry.host = extractField(*fields, "host");
    entry.incarnation = extractField(*fields, "incarnation");
    entry.name = extractField(*fields, "event");
    entry.fields = std::move(*fields);
    if (entry.host.empty() || entry.name.empty()) {
        return core::notRun(core::Reason::BadRequest, "expected the fields host and event");
    }
    return entry;
}

bool TimelineFilter::matches(const TimelineEntry &entry) const
{
    return matchesCriterion(this->host, entry.host) && matchesCriterion(this->event, entry.name)
        && matchesCriterion(this->trace, entry.field("trace").value_or(std::string_view()))
        && (!this->from || entry.time >= *this->from)
        && (!this->until || entry.time < *this->until);
}

TimelineSource readSource(std::istream &input)
{
    TimelineSource source;
    std::string line;
    while (std::getline(input, line)) {
        if (core::Result<TimelineEntry> entry = parseLine(line)) {
            source.entries.push_back(std::move(*entry));
        } else {
            ++source.unreadableLines;
        }
    }
    return source;
}

std::vector<TimelineEntry> merge(std::span<const TimelineSource> sources,
                                 const TimelineFilter &filter)
{
    std::vector<TimelineEntry> merged;
    for (const TimelineSource &source : sources) {
        std::ranges::copy_if(
            source.entries, std::back_inserter(merged),
            [&filter](const TimelineEntry &entry) { return filter.matches(entry); });
    }
    std::ranges::stable_sort(
        merged, {}, [](const TimelineEntry &entry) { return std::tie(entry.time, entry.host); });
    return merged;
}

void writeText(std::ostream &output, std::span<const TimelineEntry> entries)
{
    for (const TimelineEntry &entry : entries) {
        output << toText(entry.time) << ' ' << entry.host << ' '
               << core::toLine({ entry.name, entry.fields }) << '\n';
    }
}

} // namespace damaskgate::timeline
