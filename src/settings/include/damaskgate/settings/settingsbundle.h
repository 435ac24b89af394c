#pragma once

#include <map>
#include <memory>
#include <string>

#include <tl/expected.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

using BranchText = std::shared_ptr<const std::string>;

/** One published revision: the manifest and the branches that it references. */
struct SettingsBundle
{
    std::string manifest;
    std::map<std::string, BranchText> branches; //!< keyed by the SHA-256 of the text in hexadecimal
};

using BundlePtr = std::shared_ptr<const SettingsBundle>;

/**
 * Validates and parses a bundle. The result depends on the content of the bundle alone, so that all
 * hosts accept or refuse the same revisions.
 *
 * @return the settings with inherited defaults applied, or all findings
 */
tl::expected<SettingsPtr, Findings> parseSettings(const SettingsBundle &bundle);

} // namespace damaskgate::settings
