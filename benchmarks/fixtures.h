#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "damaskgate/settings/settingstree.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::bench {

/** Sizes of a settings tree. */
struct TreeSize
{
    std::size_t hosts = 4;
    std::size_t services = 1;
    std::size_t endpoints = 4; //!< in all
    std::size_t routes = 1;
    std::size_t workspaces = 1;
};

/** A settings tree that owns its text. */
struct Tree
{
    std::map<std::string, std::string> texts;

    settings::TreeFiles files() const;

    std::size_t bytes() const;
};

Tree makeTree(const TreeSize &size);

/** @return the parsed tree. */
settings::SettingsPtr makeSettings(const TreeSize &size);

std::vector<core::HostName> makeHosts(std::size_t count);

/** @return bytes that the process has allocated on the heap. */
std::size_t allocatedBytes();

} // namespace damaskgate::bench
