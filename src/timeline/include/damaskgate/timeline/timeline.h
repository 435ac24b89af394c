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

/** One line of an event log, read back. */
struct TimelineEntry
{
    HybridTime time;
    std::string host;
    std::string incarnation;
    std::string name; //!< of the event
    std::vector<core::EventField> fields; //!< without those above

    /** @return the value of the first field called @p key. */
    std::optional<std::string_view> field(std::string_view key) const;
};

/** @return the entry that EventLog wrote as @p line, or SettingsInvalid with what is wrong. */
core::Result<TimelineEntry> parseLine(std::string_view line);

/** Which entries to show; empty members let everything pass. */
struct TimelineFilter
{
    std::string trace {}; //!< value of the field `trace`
    std::string host {};
    std::string event {};
    std::optional<HybridTime> from {};
    std::optional<HybridTime> until {}; //!< exclusive

    bool matches(const TimelineEntry &entry) const;
};

/** Entries of one source in the order they were written, with what could not be read. */
struct TimelineSource
{
    std::vector<TimelineEntry> entries;
    std::size_t unreadableLines = 0;
};

/** @return the entries that can be read from @p input; other lines are only counted. */
TimelineSource readSource(std::istream &input);

/** @return the entries of all @p sources that match, ordered by hybrid time, then host. */
std::vector<TimelineEntry> merge(std::span<const TimelineSource> sources,
                                 const TimelineFilter &filter);

/** Writes one line for each entry. */
void writeText(std::ostream &output, std::span<const TimelineEntry> entries);

/** Writes a page that needs no other file: a lane for each process, a mark for each event. */
void writePage(std::ostream &output, std::span<const TimelineEntry> entries);

/** Arguments of the operators' `timeline` command. */
struct TimelineCommand
{
    std::vector<std::string> paths {}; //!< log files; `-` is the standard input
    TimelineFilter filter {};
    bool asPage = false;
    std::string output {}; //!< file to write; empty: the standard output
};

/**
 * Runs the `timeline` command.
 *
 * @param output stands for the standard output
 * @param errors for messages
 * @return exit code: 0, or 1 if a file could not be read or written
 */
int runCommand(const TimelineCommand &command, std::ostream &output, std::ostream &errors);

} // namespace damaskgate::timeline
