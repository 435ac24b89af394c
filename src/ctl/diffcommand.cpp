#include <algorithm>
#include <map>
#include <ostream>
#include <string>

#include "checkedtree.h"
#include "commands.h"

namespace damaskgate::ctl {

namespace {

//! Value of each effective setting by `<kind>/<name> <setting>`.
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

std::size_t printMissing(const FlatSettings &from, const FlatSettings &in, char mark,
                         std::ostream &out)
{
    std::size_t missing = 0;
    for (const auto &[name, value] : from) {
        const auto other = in.find(name);
        if (other == in.end() || other->second != value) {
            out << mark << ' ' << name << " = " << value << '\n';
            ++missing;
        }
    }
    return missing;
}

} // namespace

ExitCode runDiff(const std::filesystem::path &before, const std::filesystem::path &after,
                 const Output &output)
{
    const auto first = loadChecked(before, output);
    const auto second = loadChecked(after, output);
    if (!first || !second) {
        return first ? second.error() : first.error();
    }
    const FlatSettings former = flatten(first->files());
    const FlatSettings latter = flatten(second->files());
    const std::size_t removed = printMissing(former, latter, '-', output.out);
    const std::size_t added = printMissing(latter, former, '+', output.out);
    return removed + added == 0 ? ExitCode::Ok : ExitCode::Findings;
}

} // namespace damaskgate::ctl
