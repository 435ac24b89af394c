#pragma once

#include <filesystem>
#include <map>
#include <optional>
#include <string>

#include "damaskgate/settings/settingstree.h"

namespace damaskgate::ctl {

/** A settings tree in a directory: each file `x/y.json` is the branch `x/y`. */
class TreeDirectory
{
public:
    /** @return the tree, or nullopt if @p directory or a file in it cannot be read. */
    static std::optional<TreeDirectory> load(const std::filesystem::path &directory);

    /** @return the branches; they refer to this object and are valid as long as it lives. */
    settings::TreeFiles files() const;

    /** @return only the branches that describe failure domains and hosts. */
    settings::TreeFiles fleetFiles() const;

    /** @return a finding for each file that is not a branch. */
    const settings::Findings &findings() const;

private:
    bool add(const std::filesystem::path &file, const std::filesystem::path &root);

    std::map<std::string, std::string> texts;
    settings::Findings strayFiles;
};

} // namespace damaskgate::ctl
