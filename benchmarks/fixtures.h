#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "damaskgate/settings/settingstree.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::bench {

/** Numbers of items in a settings tree. */
struct TreeSize
{
    std::size_t hosts = 4;
    std::size_t services = 1;
    std::size_t endpoints = 4; //!< total of all services
    std::size_t routes = 1;
    std::size_t workspaces = 1;
};

/** Settings tree that owns the text of its files. */
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

/** @return the number of bytes allocated on the heap of the process. */
std::size_t allocatedBytes();

} // namespace damaskgate::bench
