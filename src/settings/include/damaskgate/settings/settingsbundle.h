#pragma once

#include <map>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

using BranchText = std::shared_ptr<const std::string>;

/** One revision as it was published: the manifest and the branches that it names. */
struct SettingsBundle
{
    std::string manifest;
    std::map<std::string, BranchText> branches; //!< by SHA-256 in hexadecimal
};

using BundlePtr = std::shared_ptr<const SettingsBundle>;

/**
 * Checks a bundle by its content alone, so that every host comes to the same result.
 *
 * @return the settings with inheritance applied, or every fault found
 */
tl::expected<SettingsPtr, Findings> parseSettings(const SettingsBundle &bundle);

} // namespace damaskgate::settings
