#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace damaskgate::routing {

/** @return the value of the hexadecimal digit @p digit, or nothing if it is none. */
std::optional<unsigned> hexValue(char digit);

/** @return @p text with each valid percent-encoded octet decoded once; all else is unchanged. */
std::string decodePercent(std::string_view text);

/** @return whether both texts are equal, ignoring the case of ASCII letters. */
bool equalsIgnoringCase(std::string_view first, std::string_view second);

} // namespace damaskgate::routing
