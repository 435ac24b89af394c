#include <iomanip>
#include <ostream>

#include "checkedtree.h"
#include "commands.h"

namespace damaskgate::ctl {

namespace {

constexpr int NameWidth = 14;

void printSetting(std::ostream &out, const settings::ExplainedSetting &setting)
{
    const bool isUnset = setting.file.empty() && setting.value.empty();
    out << std::left << std::setw(NameWidth) << setting.name << " = "
        << (isUnset ? "(not set)" : setting.value);
    if (setting.file.empty()) {
        out << "  (built in)\n";
        return;
    }
    out << "  (" << setting.file << '#' << setting.path << ")\n";
}

} // namespace

ExitCode runExplain(const std::filesystem::path &directory, const std::string &entry,
                    const Output &output)
{
    const auto tree = loadUnchecked(directory, output);
    if (!tree) {
        return tree.error();
    }
    const auto settings = settings::explainEntry(tree->files(), entry);
    if (!settings) {
        output.err << settings::toText(settings.error());
        return ExitCode::Findings;
    }
    for (const settings::ExplainedSetting &setting : *settings) {
        printSetting(output.out, setting);
    }
    return ExitCode::Ok;
}

} // namespace damaskgate::ctl
