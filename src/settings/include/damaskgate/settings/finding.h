#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace damaskgate::settings {

/** An error found by the validation of settings. */
struct Finding
{
    std::string file; //!< path relative to the root of the settings tree
    std::string path; //!< JSON pointer to the invalid value in the file
    std::string message; //!< expected and actual value

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/** @return @p finding as one line: `file: path: message`. */
std::string toLine(const Finding &finding);

/** @return @p findings as text with one finding on each line. */
std::string toText(const Findings &findings);

} // namespace damaskgate::settings
