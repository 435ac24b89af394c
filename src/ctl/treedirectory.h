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
    /** @return the tree; nothing when @p directory cannot be read. */
    static std::optional<TreeDirectory> load(const std::filesystem::path &directory);

    /** @return the branches; valid as long as this object. */
    settings::TreeFiles files() const;

    /** @return the branches that describe domains and hosts alone. */
    settings::TreeFiles fleetFiles() const;

    /** @return what stands in the directory but is no branch. */
    const settings::Findings &findings() const;

private:
    bool add(const std::filesystem::path &file, const std::filesystem::path &root);

    std::map<std::string, std::string> texts;
    settings::Findings strayFiles;
};

} // namespace damaskgate::ctl
