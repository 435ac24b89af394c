#include "damaskgate/timeline/timeline.h"

#include <algorithm>
#include <array>
#include <map>
#include <ostream>

#include "damaskgate/core/hash.h"

namespace damaskgate::timeline {

namespace {

constexpr int LaneHeight = 26; // pixels
constexpr int LabelWidth = 180; // pixels
constexpr int PlotWidth = 1400; // pixels
constexpr int AxisHeight = 30; // pixels
constexpr int AxisTicks = 8;
constexpr int MarkRadius = 4; // pixels
constexpr std::uint64_t HueCount = 360;

constexpr std::string_view PageHead = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>damaskgate timeline</title>
<style>
body { font: 13px sans-serif; margin: 1em; }
svg text { font: 12px sans-serif; }
circle:hover { stroke: black; stroke-width: 2; }
table { border-collapse: collapse; margin-top: 1em; }
td { font-family: monospace; padding: 0 0.8em 0 0; vertical-align: top; }
</style>
</head>
<body>
<h1>Timeline</h1>
)";

std::string escapeMarkup(std::string_view text)
{
    std::string escaped;
    for (const char c : text) {
        switch (c) {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

/** Maps processes to lanes and times to positions on the horizontal axis. */
class Layout
{
public:
    explicit Layout(std::span<const TimelineEntry> entries)
    {
        for (const TimelineEntry &entry : entries) {
            this->lanes.try_emplace(laneName(entry), 0);
        }
        int next = 0;
        for (auto &[name, lane] : this->lanes) {
            lane = next++;
        }
        if (!entries.empty()) {
            this->first = entries.front().time.micros;
            this->last = std::max(entries.back().time.micros, this->first + 1);
        }
    }

    static std::string laneName(const TimelineEntry &entry)
    {
        return entry.host + " #" + entry.incarnation;
    }

    int laneCenter(const std::string &name) const
    {
        return AxisHeight + this->lanes.at(name) * LaneHeight + LaneHeight / 2;
    }

    double xOf(std::int64_t micros) const
    {
        const auto offset = static_cast<double>(micros - this->first);
        return LabelWidth + PlotWidth * offset / static_cast<double>(this->last - this->first);
    }

    int height() const
    {
        return AxisHeight + static_cast<int>(this->lanes.size()) * LaneHeight + LaneHeight;
    }

    std::map<std::string, int> lanes;
    std::int64_t first = 0;
    std::int64_t last = 1;
};

void writeAxis(std::ostream &output, const Layout &layout)
{
    for (int tick = 0; tick <= AxisTicks; ++tick) {
        const std::int64_t offset = (layout.last - layout.first) * tick / AxisTicks;
        const double x = layout.xOf(layout.first + offset);
        output << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << AxisHeight << "\" y2=\""
               << layout.height() << "\" stroke=\"#ddd\"/>\n<text x=\"" << x << "\" y=\""
               << AxisHeight / 2 << "\" text-anchor=\"middle\">+"
               << static_cast<double>(offset) / 1e6 << " s</text>\n";
    }
}

void writeLanes(std::ostream &output, const Layout &layout)
{
    for (const auto &[name, lane] : layout.lanes) {
        const int y = layout.laneCenter(name);
        output << "<text x=\"0\" y=\"" << y + MarkRadius << "\">" << escapeMarkup(name)
               << "</text>\n<line x1=\"" << LabelWidth << "\" x2=\"" << LabelWidth + PlotWidth
               << "\" y1=\"" << y << "\" y2=\"" << y << "\" stroke=\"#bbb\"/>\n";
    }
}

void writeMark(std::ostream &output, const Layout &layout, const TimelineEntry &entry)
{
    const std::string line = core::toLine({ entry.name, entry.fields });
    output << "<circle cx=\"" << layout.xOf(entry.time.micros) << "\" cy=\""
           << layout.laneCenter(Layout::laneName(entry)) << "\" r=\"" << MarkRadius
           << "\" fill=\"hsl(" << core::hash64(entry.name) % HueCount << ",70%,45%)\"><title>"
           << toText(entry.time) << ' ' << escapeMarkup(entry.host) << ' ' << escapeMarkup(line)
           << "</title></circle>\n";
}

void writeRow(std::ostream &output, const TimelineEntry &entry)
{
    const std::string line = core::toLine({ entry.name, entry.fields });
    output << "<tr><td>" << toText(entry.time) << "</td><td>" << escapeMarkup(entry.host)
           << "</td><td>" << escapeMarkup(line) << "</td></tr>\n";
}

} // namespace

void writePage(std::ostream &output, std::span<const TimelineEntry> entries)
{
    const Layout layout(entries);
    output << PageHead << "<p>" << entries.size() << " events of " << layout.lanes.size()
           << " processes</p>\n<svg width=\"" << LabelWidth + PlotWidth + LabelWidth
           << "\" height=\"" << layout.height() << "\">\n";
    writeAxis(output, layout);
    writeLanes(output, layout);
    for (const TimelineEntry &entry : entries) {
        writeMark(output, layout, entry);
    }
    output << "</svg>\n<table>\n";
    for (const TimelineEntry &entry : entries) {
        writeRow(output, entry);
    }
    output << "</table>\n</body>\n</html>\n";
}

} // namespace damaskgate::timeline
