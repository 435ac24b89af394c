#include <ostream>
#include <utility>

#include "checkedtree.h"
#include "commands.h"

namespace damaskgate::ctl {

tl::expected<TreeDirectory, ExitCode> loadUnchecked(const std::filesystem::path &directory,
                                                    const Output &output)
{
    auto tree = TreeDirectory::load(directory);
    if (!tree) {
        output.err << directory.string() << ": cannot read the directory\n";
        return tl::unexpected(ExitCode::Unavailable);
    }
    return std::move(*tree);
}

tl::expected<TreeDirectory, ExitCode> loadChecked(const std::filesystem::path &directory,
                                                  const Output &output)
{
    auto tree = loadUnchecked(directory, output);
    if (!tree) {
        return tree;
    }
    const auto settings = settings::parseTree(tree->files(), {});
    settings::Findings findings = tree->findings();
    if (!settings) {
        findings.insert(findings.end(), settings.error().begin(), settings.error().end());
    }
    if (!findings.empty()) {
        output.err << settings::toText(findings);
        return tl::unexpected(ExitCode::Findings);
    }
    return tree;
}

ExitCode runCheck(const std::filesystem::path &directory, const Output &output)
{
    const auto tree = loadChecked(directory, output);
    if (!tree) {
        return tree.error();
    }
    const auto settings = settings::parseTree(tree->files(), {});
    output.out << "ok domains=" << settings->domains.size() << " hosts=" << settings->hosts.size()
               << " workspaces=" << settings->workspaces.size()
               << " routes=" << settings->routes.size() << " services=" << settings->services.size()
               << '\n';
    return ExitCode::Ok;
}

} // namespace damaskgate::ctl
