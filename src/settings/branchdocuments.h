#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstree.h"

namespace damaskgate::settings {

/** Defaults of one branch for the entries of a kind in it and in the branches below. */
struct DefaultsLayer
{
    std::string file;
    std::string path; //!< JSON pointer to the defaults in the file
    const nlohmann::json *fields = nullptr; //!< an object
};

/** An entry as written in a branch, before inherited defaults are applied. */
struct RawEntry
{
    std::string name;
    std::string file;
    std::string path; //!< JSON pointer to the entry in the file
    const nlohmann::json *fields = nullptr; //!< an object
};

/** The parsed branches of a tree. The constructor checks their `defaults` and `entries` objects. */
class BranchDocuments
{
public:
    BranchDocuments(const TreeFiles &tree, Findings &findings);

    /** @return the names of the branches of @p kind; each branch follows its parent branches. */
    std::vector<std::string> branchesOf(std::string_view kind) const;

    /** @return the defaults that apply to the entries of @p branch, in order from the root down. */
    std::vector<DefaultsLayer> defaultsFor(std::string_view branch) const;

    /** @return the defaults of @p branch itself; `fields` is null if there are none. */
    DefaultsLayer ownDefaults(std::string_view branch, std::string_view kind) const;

    /** @return the entries of @p branch. */
    std::vector<RawEntry> entriesOf(std::string_view branch) const;

private:
    void checkStructure(const std::string &branch, const nlohmann::json &document,
                        Findings &findings);
    void checkRoot(const nlohmann::json &document, Findings &findings);

    std::map<std::string, nlohmann::json, std::less<>> documents;
};

/** @return the file name of @p branch. */
std::string fileOf(std::string_view branch);

/** @return the kind of the entries of @p branch: the first part of its name. */
std::string_view kindOf(std::string_view branch);

} // namespace damaskgate::settings
