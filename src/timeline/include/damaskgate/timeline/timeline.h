#pragma once

#include <iosfwd>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/event.h"
#include "damaskgate/timeline/hybridclock.h"

namespace damaskgate::timeline {

/** An event parsed from one line of an event log. */
struct TimelineEntry
{
    HybridTime time;
    std::string host;
    std::string incarnation;
    std::string name; //!< name of the event
    /** Remaining fields of the log line, in their original order. */
    std::vector<core::EventField> fields;

    /** @return the value of the first field named @p key, if any. */
    std::optional<std::string_view> field(std::string_view key) const;
};

/** @return the entry in a line written by EventLog, or BadRequest with the syntax error. */
core::Result<TimelineEntry> parseLine(std::string_view line);

/** Criteria of the entries to show. An empty member matches every entry. */
struct TimelineFilter
{
    std::string trace {}; //!< value of the field `trace`
    std::string host {};
    std::string event {};
    std::optional<HybridTime> from {}; //!< inclusive
    std::optional<HybridTime> until {}; //!< exclusive

    bool matches(const TimelineEntry &entry) const;
};

/** Entries of one log in the order of its lines. */
struct TimelineSource
{
    std::vector<TimelineEntry> entries;
    std::size_t unreadableLines = 0; //!< number of lines that could not be parsed
};

/** @return the entries parsed from @p input and the number of invalid lines. */
TimelineSource readSource(std::istream &input);

/** @return the entries of all @p sources that match @p filter, ordered by hybrid time and host. */
std::vector<TimelineEntry> merge(std::span<const TimelineSource> sources,
                                 const TimelineFilter &filter);

/** Writes the entries as text, one per line. */
void writeText(std::ostream &output, std::span<const TimelineEntry> entries);

/** Writes a self-contained HTML page with a lane for each process and a mark for each event. */
void writePage(std::ostream &output, std::span<const TimelineEntry> entries);

/** Arguments of the `timeline` command. */
struct TimelineCommand
{
    std::vector<std::string> paths {}; //!< log files; `-` stands for standard input
    TimelineFilter filter {};
    bool asPage = false; //!< write an HTML page instead of text
    std::string output {}; //!< file to write; empty: standard output
};

/**
 * Runs the `timeline` command.
 *
 * @param output stream to use as standard output
 * @param errors stream for error messages and warnings
 * @return exit code: 0, or 1 if a file could not be read or written
 */
int runCommand(const TimelineCommand &command, std::ostream &output, std::ostream &errors);

} // namespace damaskgate::timeline
