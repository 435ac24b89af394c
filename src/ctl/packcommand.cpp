#include <fstream>
#include <iterator>
#include <map>
#include <ostream>
#include <utility>

#include "damaskgate/core/hash.h"
#include "damaskgate/settings/manifest.h"
#include "damaskgate/settings/settingsbundle.h"

#include "checkedtree.h"
#include "commands.h"

namespace damaskgate::ctl {

namespace fs = std::filesystem;

namespace {

settings::BranchHashes addBranches(const settings::TreeFiles &files,
                                   settings::SettingsBundle &bundle)
{
    settings::BranchHashes hashes;
    for (const auto &[name, text] : files) {
        const std::string hash = core::toHex(core::sha256(text));
        hashes[name] = hash;
        bundle.branches.emplace(hash, std::make_shared<const std::string>(text));
    }
    return hashes;
}

//! @return the revision to publish; zero after an error was written to `output.err`
std::uint64_t selectRevision(const PackOptions &options, const Output &output)
{
    if (!options.after) {
        return options.revision;
    }
    std::ifstream stream(*options.after, std::ios::binary);
    const std::string text { std::istreambuf_iterator<char>(stream), {} };
    const auto manifest = settings::parseManifest(text);
    if (!manifest) {
        output.err << options.after->string() << ": " << settings::toText(manifest.error());
        return 0;
    }
    const std::uint64_t next = manifest->revision.number + 1;
    if (options.revision != 0 && options.revision < next) {
        output.err << "the revision must be above " << manifest->revision.number << '\n';
        return 0;
    }
    return options.revision == 0 ? next : options.revision;
}

bool writeFile(const fs::path &file, const std::string &text)
{
    std::ofstream stream(file, std::ios::binary | std::ios::trunc);
    stream << text;
    stream.close();
    return stream.good();
}

//! Writes the manifest last, so that a copy made meanwhile refers only to existing branches.
bool writeValues(const fs::path &target, const settings::SettingsBundle &bundle)
{
    std::error_code error;
    fs::create_directories(target / "branch", error);
    for (const auto &[hash, text] : bundle.branches) {
        if (error || !writeFile(target / "branch" / hash, *text)) {
            return false;
        }
    }
    return !error && writeFile(target / "manifest", bundle.manifest);
}

ExitCode checkAndWrite(const fs::path &target, const settings::SettingsBundle &bundle,
                       const Output &output)
{
    const auto settings = settings::parseSettings(bundle);
    if (!settings) {
        output.err << settings::toText(settings.error());
        return ExitCode::Findings;
    }
    if (!writeValues(target, bundle)) {
        output.err << target.string() << ": cannot write to the directory\n";
        return ExitCode::Unavailable;
    }
    const settings::Revision &revision = (*settings)->revision;
    output.out << "packed revision=" << revision.number << " hash=" << revision.hash
               << " branches=" << bundle.branches.size() << '\n';
    return ExitCode::Ok;
}

} // namespace

ExitCode runPack(const PackOptions &options, const Output &output)
{
    const auto tree = loadChecked(options.directory, output);
    if (!tree) {
        return tree.error();
    }
    const std::uint64_t revision = selectRevision(options, output);
    if (revision == 0) {
        return ExitCode::Findings;
    }
    settings::SettingsBundle bundle;
    const settings::BranchHashes branches = addBranches(tree->files(), bundle);
    settings::BranchHashes previousBranches;
    if (options.previous) {
        const auto previous = loadUnchecked(*options.previous, output);
        if (!previous) {
            return previous.error();
        }
        previousBranches = addBranches(previous->fleetFiles(), bundle);
    }
    bundle.manifest = settings::writeManifest(revision, branches, previousBranches);
    return checkAndWrite(options.target, bundle, output);
}

} // namespace damaskgate::ctl
