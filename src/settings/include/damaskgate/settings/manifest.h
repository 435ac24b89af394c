#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "damaskgate/settings/finding.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::settings {

/** Maximum size of a published value or a settings file, in bytes. */
constexpr std::size_t MaxValueBytes = 1024UL * 1024;

/** SHA-256 of each branch in hexadecimal, keyed by branch name, such as `hosts/north`. */
using BranchHashes = std::map<std::string, std::string>;

/** The root of the published settings: references all branches of one revision of the tree. */
struct Manifest
{
    Revision revision;
    BranchHashes branches;
    BranchHashes previousBranches; //!< domains and hosts of the previous fleet, if any
};

/**
 * Parses a published manifest.
 *
 * @param text JSON, at most MaxValueBytes long
 * @return the manifest, or all findings
 */
tl::expected<Manifest, Findings> parseManifest(std::string_view text);

/** Serializes a manifest; equal input gives identical text, and so an identical revision hash. */
std::string writeManifest(std::uint64_t number, const BranchHashes &branches,
                          const BranchHashes &previousBranches);

/** @return the distinct branch hashes that @p manifest references, in ascending order. */
std::vector<std::string> branchHashesOf(const Manifest &manifest);

} // namespace damaskgate::settings
