#pragma once

#include <string>
#include <string_view>

namespace damaskgate::core {

/** @return the bytes that @p text stands for, padding optional; empty when it is not base64. */
std::string decodeBase64(std::string_view text);

} // namespace damaskgate::core
