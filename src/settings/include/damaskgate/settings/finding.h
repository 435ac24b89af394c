#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace damaskgate::settings {

/** A fault found while settings were checked. */
struct Finding
{
    std::string file; //!< path of the file, relative to the root of the tree
    std::string path; //!< JSON pointer to the faulty value inside the file
    std::string message; //!< what was expected, and what was found

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

/** @return @p finding as one line: `file: path: message`. */
std::string toLine(const Finding &finding);

/** @return all @p findings, one a line. */
std::string toText(const Findings &findings);

} // namespace damaskgate::settings
