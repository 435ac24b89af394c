#pragma once

#include <span>
#include <string>
#include <string_view>

#include "damaskgate/entry/ilookup.h"

namespace damaskgate::entry {

inline constexpr std::string_view OwnPathPrefix = "/.damaskgate/";
inline constexpr std::string_view LookupPath = "/.damaskgate/v1/entries";

/** @return the body of a look-up response, as JSON. */
std::string toLookupJson(std::span<const LookupEntry> entries, std::chrono::seconds timeToLive,
                         std::string_view operationTicket);

} // namespace damaskgate::entry
