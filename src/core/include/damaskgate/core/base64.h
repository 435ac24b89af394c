#pragma once

#include <string>
#include <string_view>

namespace damaskgate::core {

/**
 * Decodes base64; the padding at the end is optional.
 *
 * @return the decoded bytes, or an empty string if @p text is not valid base64
 */
std::string decodeBase64(std::string_view text);

} // namespace damaskgate::core
