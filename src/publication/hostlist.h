#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "damaskgate/publication/ihostlistlistener.h"

namespace damaskgate::publication {

/**
 * Parses the platform's host list. Invalid entries are skipped: the list is a hint, and one invalid
 * entry must not hide the others.
 *
 * @return the valid entries; nothing when @p text is not a JSON array
 */
std::optional<std::vector<ListedHost>> parseHostList(std::string_view text);

} // namespace damaskgate::publication
