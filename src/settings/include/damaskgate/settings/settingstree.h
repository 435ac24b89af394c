#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Text of each branch by its name: the path of its file without `.json`. */
using TreeFiles = std::map<std::string, std::string_view>;

/**
 * Checks a whole tree and applies inheritance.
 *
 * @param tree every branch
 * @param previousFleet domains and hosts of the former fleet; may be empty
 * @return the settings without a revision, or every fault found
 */
tl::expected<Settings, Findings> parseTree(const TreeFiles &tree, const TreeFiles &previousFleet);

/** @return whether the branch @p name describes domains or hosts, or defaults for them. */
bool isFleetBranch(std::string_view name);

/** @return `<kind>/<name>` of every entry, sorted by kind; faulty branches are left out. */
std::vector<std::string> listEntries(const TreeFiles &tree);

/** A setting of one entry, and where it was set. */
struct ExplainedSetting
{
    std::string name;
    std::string value; //!< JSON
    std::string file; //!< branch that it came from; empty: built in
    std::string path; //!< JSON pointer inside the file

    bool operator==(const ExplainedSetting &) const = default;
};

/**
 * Tells where each effective setting of an entry comes from.
 *
 * @param entry `<kind>/<name>`, such as `services/bokun`
 * @return every setting of the entry, or why there are none
 */
tl::expected<std::vector<ExplainedSetting>, Findings> explainEntry(const TreeFiles &tree,
                                                                   std::string_view entry);

} // namespace damaskgate::settings
