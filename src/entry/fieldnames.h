#pragma once

#include <string_view>

namespace damaskgate::entry {

inline constexpr std::string_view ViaValue = "1.1 damaskgate";

} // namespace damaskgate::entry
