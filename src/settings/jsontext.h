#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "damaskgate/settings/finding.h"

namespace damaskgate::settings {

/** Maximum nesting depth of a JSON document. */
constexpr int MaxJsonDepth = 16;

/**
 * Parses JSON strictly: limited size and depth, valid UTF-8, no duplicate keys in an object.
 *
 * @param file file name for the findings
 * @param findings receives an entry for each error
 * @return the value, or nothing if there was an error
 */
std::optional<nlohmann::json> parseJson(std::string_view text, const std::string &file,
                                        Findings &findings);

/** @return the JSON pointer @p path with @p key appended, escaped according to RFC 6901. */
std::string childPath(std::string_view path, std::string_view key);

/** @return the JSON type of @p value with its article, such as "a string", for messages. */
std::string describeType(const nlohmann::json &value);

} // namespace damaskgate::settings
