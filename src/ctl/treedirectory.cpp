#include "treedirectory.h"

#include <fstream>
#include <iterator>
#include <utility>

namespace damaskgate::ctl {

namespace fs = std::filesystem;

std::optional<TreeDirectory> TreeDirectory::load(const fs::path &directory)
{
    TreeDirectory tree;
    std::error_code error;
    fs::recursive_directory_iterator files(directory, error);
    for (; !error && files != fs::end(files); files.increment(error)) {
        if (files->is_regular_file() && !tree.add(files->path(), directory)) {
            return std::nullopt;
        }
    }
    return error ? std::nullopt : std::optional(std::move(tree));
}

bool TreeDirectory::add(const fs::path &file, const fs::path &root)
{
    fs::path name = file.lexically_relative(root);
    if (name.extension() != ".json") {
        this->strayFiles.push_back({ name.generic_string(), "", "expected a file named *.json" });
        return true;
    }
    std::ifstream stream(file, std::ios::binary);
    if (!stream) {
        return false;
    }
    std::string text { std::istreambuf_iterator<char>(stream), {} };
    this->texts.emplace(name.replace_extension().generic_string(), std::move(text));
    return true;
}

settings::TreeFiles TreeDirectory::files() const
{
    return { this->texts.begin(), this->texts.end() };
}

settings::TreeFiles TreeDirectory::fleetFiles() const
{
    settings::TreeFiles fleet = this->files();
    std::erase_if(fleet, [](const auto &branch) { return !settings::isFleetBranch(branch.first); });
    return fleet;
}

const settings::Findings &TreeDirectory::findings() const
{
    return this->strayFiles;
}

} // namespace damaskgate::ctl
