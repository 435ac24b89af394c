#include "damaskgate/settings/settingsbundle.h"

#include <utility>

#include "damaskgate/core/hash.h"

#include "damaskgate/settings/manifest.h"
#include "damaskgate/settings/settingstree.h"

namespace damaskgate::settings {

namespace {

TreeFiles filesOf(const BranchHashes &hashes, const SettingsBundle &bundle, Findings &findings)
{
    TreeFiles files;
    for (const auto &[name, hash] : hashes) {
        const auto branch = bundle.branches.find(hash);
        if (branch == bundle.branches.end()) {
            findings.push_back(
                { name + ".json", "", "expected a branch with the hash " + hash + ", found none" });
            continue;
        }
        if (core::toHex(core::sha256(*branch->second)) != hash) {
            findings.push_back({ name + ".json", "", "expected content with the hash " + hash });
            continue;
        }
        files.emplace(name, *branch->second);
    }
    return files;
}

} // namespace

tl::expected<SettingsPtr, Findings> parseSettings(const SettingsBundle &bundle)
{
    auto manifest = parseManifest(bundle.manifest);
    if (!manifest) {
        return tl::unexpected(std::move(manifest.error()));
    }
    Findings findings;
    const TreeFiles tree = filesOf(manifest->branches, bundle, findings);
    const TreeFiles previousFleet = filesOf(manifest->previousBranches, bundle, findings);
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    auto settings = parseTree(tree, previousFleet);
    if (!settings) {
        return tl::unexpected(std::move(settings.error()));
    }
    settings->revision = manifest->revision;
    return std::make_shared<const Settings>(std::move(*settings));
}

} // namespace damaskgate::settings
