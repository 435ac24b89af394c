#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Text of each branch, keyed by branch name: the path of its file without `.json`. */
using TreeFiles = std::map<std::string, std::string_view>;

/**
 * Validates and parses a complete settings tree and applies inherited defaults.
 *
 * @param tree all branches
 * @param previousFleet branches with the domains and hosts of the previous fleet; may be empty
 * @return the settings without a revision, or all findings
 */
tl::expected<Settings, Findings> parseTree(const TreeFiles &tree, const TreeFiles &previousFleet);

/** @return whether the branch @p name contains failure domains, hosts or their defaults. */
bool isFleetBranch(std::string_view name);

/** @return `<kind>/<name>` of every entry, grouped by kind; invalid branches are skipped. */
std::vector<std::string> listEntries(const TreeFiles &tree);

/** The effective value of one setting of an entry, and the file that sets it. */
struct ExplainedSetting
{
    std::string name;
    std::string value; //!< JSON
    std::string file; //!< file that sets the value; empty if the built-in default applies
    std::string path; //!< JSON pointer to the value in the file

    bool operator==(const ExplainedSetting &) const = default;
};

/**
 * Finds the file that sets each effective setting of an entry.
 *
 * @param entry `<kind>/<name>`, such as `services/bokun`
 * @return all settings of the entry, or findings if the tree is invalid or has no such entry
 */
tl::expected<std::vector<ExplainedSetting>, Findings> explainEntry(const TreeFiles &tree,
                                                                   std::string_view entry);

} // namespace damaskgate::settings
