#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstree.h"

namespace damaskgate::settings {

/** Defaults that one branch gives to the entries of a kind below it. */
struct DefaultsLayer
{
    std::string file;
    std::string path; //!< JSON pointer to the defaults
    const nlohmann::json *fields = nullptr; //!< an object
};

/** An entry as it stands in a branch, before inheritance. */
struct RawEntry
{
    std::string name;
    std::string file;
    std::string path; //!< JSON pointer to the entry
    const nlohmann::json *fields = nullptr; //!< an object
};

/** The parsed branches of a tree, with their form checked: `defaults` and `entries`. */
class BranchDocuments
{
public:
    BranchDocuments(const TreeFiles &tree, Findings &findings);

    /** @return the names of the branches that hold entries of @p kind, each after those above. */
    std::vector<std::string> branchesOf(std::string_view kind) const;

    /** @return the defaults that apply to the entries of @p branch, those of the root first. */
    std::vector<DefaultsLayer> defaultsFor(std::string_view branch) const;

    /** @return the defaults that @p branch itself gives; `fields` is null when there are none. */
    DefaultsLayer ownDefaults(std::string_view branch, std::string_view kind) const;

    /** @return the entries that stand in @p branch. */
    std::vector<RawEntry> entriesOf(std::string_view branch) const;

private:
    void checkForm(const std::string &branch, const nlohmann::json &document, Findings &findings);
    void checkRoot(const nlohmann::json &document, Findings &findings);

    std::map<std::string, nlohmann::json, std::less<>> documents;
};

/** @return the file of the branch @p name. */
std::string fileOf(std::string_view branch);

/** @return the kind of the entries of the branch @p name: its first part. */
std::string_view kindOf(std::string_view branch);

} // namespace damaskgate::settings
