#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "damaskgate/settings/finding.h"

namespace damaskgate::settings {

constexpr int MaxJsonDepth = 16;

/**
 * Parses JSON strictly: bounded size and depth, valid UTF-8, no key twice in an object.
 *
 * @param file name for the findings
 * @param findings receives each fault
 * @return the value, or nothing when there was a fault
 */
std::optional<nlohmann::json> parseJson(std::string_view text, const std::string &file,
                                        Findings &findings);

/** @return the JSON pointer @p path with @p key added, escaped as RFC 6901 asks. */
std::string childPath(std::string_view path, std::string_view key);

/** @return "a string", "a number" and so on, for messages. */
std::string describeType(const nlohmann::json &value);

} // namespace damaskgate::settings
