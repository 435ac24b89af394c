#include <algorithm>
#include <map>
#include <ostream>
#include <string>

#include "checkedtree.h"
#include "commands.h"

namespace damaskgate::ctl {

namespace {

//! Values of effective settings, keyed by `<kind>/<name> <setting>`.
using FlatSettings = std::map<std::string, std::string>;

FlatSettings flatten(const settings::TreeFiles &files)
{
    FlatSettings flat;
    for (const std::string &entry : settings::listEntries(files)) {
        const auto explained = settings::explainEntry(files, entry);
        if (!explained) {
            continue;
        }
        for (const settings::ExplainedSetting &setting : *explained) {
            flat[entry + " " + setting.name] = setting.value;
        }
    }
    return flat;
}

std::size_t printDifferences(const FlatSettings &settings, const FlatSettings &reference, char mark,
                             std::ostream &out)
{
    std::size_t differences = 0;
    for (const auto &[name, value] : settings) {
        const auto other = reference.find(name);
        if (other == reference.end() || other->second != value) {
            out << mark << ' ' << name << " = " << value << '\n';
            ++differences;
        }
    }
    return differences;
}

} // namespace

ExitCode runDiff(const std::filesystem::path &before, const std::filesystem::path &after,
                 const Output &output)
{
    const auto beforeLoaded = loadChecked(before, output);
    const auto afterLoaded = loadChecked(after, output);
    if (!beforeLoaded || !afterLoaded) {
        return beforeLoaded ? afterLoaded.error() : beforeLoaded.error();
    }
    const FlatSettings beforeSettings = flatten(beforeLoaded->files());
    const FlatSettings afterSettings = flatten(afterLoaded->files());
    const std::size_t removed = printDifferences(beforeSettings, afterSettings, '-', output.out);
    const std::size_t added = printDifferences(afterSettings, beforeSettings, '+', output.out);
    return removed + added == 0 ? ExitCode::Ok : ExitCode::Findings;
}

} // namespace damaskgate::ctl
