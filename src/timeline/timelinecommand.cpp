#include "damaskgate/timeline/timeline.h"

#include <fstream>
#include <iostream>

namespace damaskgate::timeline {

namespace {

constexpr std::string_view StandardInput = "-";

bool readAll(const TimelineCommand &command, std::ostream &errors,
             std::vector<TimelineSource> &sources)
{
    for (const std::string &path : command.paths) {
        if (path == StandardInput) {
            sources.push_back(readSource(std::cin));
            continue;
        }
        std::ifstream file(path);
        if (!file) {
            errors << "cannot read " << path << '\n';
            return false;
        }
        sources.push_back(readSource(file));
        if (sources.back().unreadableLines > 0) {
            errors << path << ": " << sources.back().unreadableLines
                   << " lines are not valid events and were skipped\n";
        }
    }
    return true;
}

void write(const TimelineCommand &command, std::ostream &output,
           std::span<const TimelineEntry> entries)
{
    if (command.asPage) {
        writePage(output, entries);
    } else {
        writeText(output, entries);
    }
}

} // namespace

int runCommand(const TimelineCommand &command, std::ostream &output, std::ostream &errors)
{
    std::vector<TimelineSource> sources;
    if (!readAll(command, errors, sources)) {
        return 1;
    }
    const std::vector<TimelineEntry> entries = merge(sources, command.filter);
    if (command.output.empty()) {
        write(command, output, entries);
        return 0;
    }
    std::ofstream file(command.output);
    write(command, file, entries);
    file.flush();
    if (!file) {
        errors << "cannot write " << command.output << '\n';
        return 1;
    }
    return 0;
}

} // namespace damaskgate::timeline
