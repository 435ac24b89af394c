#pragma once

#include <optional>
#include <string_view>
#include <vector>

#include "damaskgate/publication/ihostlistlistener.h"

namespace damaskgate::publication {

/**
 * Reads the platform's list of hosts. Entries that cannot be understood are left out: the list is
 * a hint, and one odd entry must not hide the others.
 *
 * @return nothing when @p text is no JSON list
 */
std::optional<std::vector<ListedHost>> parseHostList(std::string_view text);

} // namespace damaskgate::publication
