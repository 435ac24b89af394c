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

constexpr std::size_t MaxValueBytes = 1024UL * 1024;

/** Hash of each branch (SHA-256 in hexadecimal) by the name of the branch, such as `hosts/north`.
 */
using BranchHashes = std::map<std::string, std::string>;

/** The root of published settings: names one revision of the tree, whole. */
struct Manifest
{
    Revision revision;
    BranchHashes branches;
    BranchHashes previousBranches; //!< domains and hosts of the former fleet, if any
};

/**
 * Reads a manifest as it was published.
 *
 * @param text bytes of the manifest, at most MaxValueBytes
 * @return the manifest, or every fault found
 */
tl::expected<Manifest, Findings> parseManifest(std::string_view text);

/** @return the text of a manifest; equal input gives equal text. */
std::string writeManifest(std::uint64_t number, const BranchHashes &branches,
                          const BranchHashes &previousBranches);

/** @return the hashes that @p manifest names, each once, sorted. */
std::vector<std::string> branchHashesOf(const Manifest &manifest);

} // namespace damaskgate::settings
