#include "damaskgate/settings/manifest.h"

#include <algorithm>
#include <set>

#include <nlohmann/json.hpp>

#include "fieldvalue.h"
#include "jsontext.h"

namespace damaskgate::settings {

namespace {

using nlohmann::json;

const std::string ManifestFile = "manifest";
constexpr std::uint64_t FormatVersion = 1;
//! Tools that store JSON numbers as doubles do not keep all larger integers exactly.
constexpr std::uint64_t MaxRevision = (1ULL << 53U) - 1;

BranchHashes readBranches(const json &value, const std::string &path, Findings &findings)
{
    BranchHashes branches;
    if (!value.is_object()) {
        findings.push_back(
            { ManifestFile, path, "expected an object, found " + describeType(value) });
        return branches;
    }
    for (const auto &[name, hash] : value.items()) {
        const FieldValue field(hash, ManifestFile, childPath(path, name), findings);
        field.readHexHash(branches[name]);
    }
    return branches;
}

void readField(const std::string &name, const json &value, Manifest &manifest, Findings &findings)
{
    const std::string path = childPath("", name);
    const FieldValue field(value, ManifestFile, path, findings);
    if (name == "format") {
        std::uint64_t format = 0;
        field.readInteger(format, FormatVersion, FormatVersion);
    } else if (name == "revision") {
        field.readInteger(manifest.revision.number, 1, MaxRevision);
    } else if (name == "branches") {
        manifest.branches = readBranches(value, path, findings);
    } else if (name == "previousBranches") {
        manifest.previousBranches = readBranches(value, path, findings);
    } else {
        findings.push_back(
            { ManifestFile, path, "expected format, revision, branches or previousBranches" });
    }
}

void checkRequiredFields(const json &document, Findings &findings)
{
    for (const char *name : { "format", "revision", "branches" }) {
        if (!document.contains(name)) {
            findings.push_back(
                { ManifestFile, childPath("", name), "expected a value, found none" });
        }
    }
}

} // namespace

tl::expected<Manifest, Findings> parseManifest(std::string_view text)
{
    Findings findings;
    const auto document = parseJson(text, ManifestFile, findings);
    if (!document) {
        return tl::unexpected(findings);
    }
    if (!document->is_object()) {
        findings.push_back(
            { ManifestFile, "", "expected an object, found " + describeType(*document) });
        return tl::unexpected(findings);
    }
    Manifest manifest;
    for (const auto &[name, value] : document->items()) {
        readField(name, value, manifest, findings);
    }
    checkRequiredFields(*document, findings);
    if (!findings.empty()) {
        return tl::unexpected(findings);
    }
    manifest.revision.hash = core::toHex(core::sha256(text));
    return manifest;
}

std::string writeManifest(std::uint64_t number, const BranchHashes &branches,
                          const BranchHashes &previousBranches)
{
    json document = {
        { "format", FormatVersion },
        { "revision", number },
        { "branches", branches },
    };
    if (!previousBranches.empty()) {
        document["previousBranches"] = previousBranches;
    }
    constexpr int Indent = 1;
    return document.dump(Indent) + "\n";
}

std::vector<std::string> branchHashesOf(const Manifest &manifest)
{
    std::set<std::string> hashes;
    for (const BranchHashes *branches : { &manifest.branches, &manifest.previousBranches }) {
        for (const auto &[name, hash] : *branches) {
            hashes.insert(hash);
        }
    }
    return { hashes.begin(), hashes.end() };
}

} // namespace damaskgate::settings
