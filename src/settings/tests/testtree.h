#pragma once

#include <map>
#include <string>

#include "damaskgate/settings/settingsbundle.h"
#include "damaskgate/settings/settingstree.h"

namespace damaskgate::settings::tests {

using TreeTexts = std::map<std::string, std::string>;

/** @return a small tree that passes its checks. */
TreeTexts validTree();

/** @return the views that parseTree() takes; valid as long as @p texts. */
TreeFiles filesOf(const TreeTexts &texts);

/** @return @p texts as they are published with the revision @p number. */
BundlePtr bundleOf(std::uint64_t number, const TreeTexts &texts);

} // namespace damaskgate::settings::tests
