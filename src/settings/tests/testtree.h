#pragma once

#include <map>
#include <string>

#include "damaskgate/settings/settingsbundle.h"
#include "damaskgate/settings/settingstree.h"

namespace damaskgate::settings::tests {

using TreeTexts = std::map<std::string, std::string>;

/** @return a small valid tree. */
TreeTexts validTree();

/** @return views of @p texts for parseTree(); valid as long as @p texts. */
TreeFiles filesOf(const TreeTexts &texts);

/** @return the bundle that publishes @p texts with the revision @p number. */
BundlePtr bundleOf(std::uint64_t number, const TreeTexts &texts);

} // namespace damaskgate::settings::tests
