#include "branchdocuments.h"

#include <algorithm>
#include <array>

#include "fieldrules.h"
#include "fieldvalue.h"
#include "jsontext.h"

namespace damaskgate::settings {

namespace {

using nlohmann::json;

constexpr std::array AllKinds { kinds::Domains, kinds::Hosts,    kinds::Workspaces,
                                kinds::Routes,  kinds::Services, kinds::Endpoints };

bool isKind(std::string_view name)
{
    return std::ranges::find(AllKinds, name) != AllKinds.end();
}

bool isValidBranchName(std::string_view name)
{
    while (true) {
        const std::size_t slash = name.find('/');
        if (!isValidName(name.substr(0, slash))) {
            return false;
        }
        if (slash == std::string_view::npos) {
            return true;
        }
        name.remove_prefix(slash + 1);
    }
}

bool expectObject(const json &value, const std::string &file, const std::string &path,
                  Findings &findings)
{
    if (value.is_object()) {
        return true;
    }
    findings.push_back({ file, path, "expected an object, found " + describeType(value) });
    return false;
}

const json *findObject(const json &document, std::string_view key)
{
    const auto found = document.find(key);
    return found != document.end() && found->is_object() ? &*found : nullptr;
}

} // namespace

std::string fileOf(std::string_view branch)
{
    return std::string(branch) + ".json";
}

std::string_view kindOf(std::string_view branch)
{
    return branch.substr(0, branch.find('/'));
}

BranchDocuments::BranchDocuments(const TreeFiles &tree, Findings &findings)
{
    for (const auto &[branch, text] : tree) {
        const bool isRoot = branch == RootBranch;
        if (!isRoot && (!isKind(kindOf(branch)) || !isValidBranchName(branch))) {
            findings.push_back({ fileOf(branch), "",
                                 "expected a file below domains, hosts, workspaces, routes, "
                                 "services or endpoints, or defaults.json" });
            continue;
        }
        auto document = parseJson(text, fileOf(branch), findings);
        if (!document) {
            continue;
        }
        if (isRoot) {
            this->checkRoot(*document, findings);
        } else {
            this->checkStructure(branch, *document, findings);
        }
        this->documents.emplace(branch, std::move(*document));
    }
}

void BranchDocuments::checkRoot(const json &document, Findings &findings)
{
    const std::string file = fileOf(RootBranch);
    if (!expectObject(document, file, "", findings)) {
        return;
    }
    for (const auto &[key, value] : document.items()) {
        const std::string path = childPath("", key);
        if (!isKind(key)) {
            findings.push_back({ file, path,
                                 "expected domains, hosts, workspaces, routes, services or "
                                 "endpoints" });
            continue;
        }
        expectObject(value, file, path, findings);
    }
}

void BranchDocuments::checkStructure(const std::string &branch, const json &document,
                                     Findings &findings)
{
    const std::string file = fileOf(branch);
    if (!expectObject(document, file, "", findings)) {
        return;
    }
    for (const auto &[key, value] : document.items()) {
        const std::string path = childPath("", key);
        if (key != "defaults" && key != "entries") {
            findings.push_back({ file, path, "expected defaults or entries" });
            continue;
        }
        if (!expectObject(value, file, path, findings) || key == "defaults") {
            continue;
        }
        for (const auto &[name, entry] : value.items()) {
            expectObject(entry, file, childPath(path, name), findings);
        }
    }
}

std::vector<std::string> BranchDocuments::branchesOf(std::string_view kind) const
{
    std::vector<std::string> names;
    for (const auto &[branch, document] : this->documents) {
        if (branch != RootBranch && kindOf(branch) == kind) {
            names.push_back(branch);
        }
    }
    return names;
}

DefaultsLayer BranchDocuments::ownDefaults(std::string_view branch, std::string_view kind) const
{
    const std::string_view key = branch == RootBranch ? kind : std::string_view("defaults");
    const auto found = this->documents.find(branch);
    const json *fields = found == this->documents.end() ? nullptr : findObject(found->second, key);
    return { fileOf(branch), childPath("", key), fields };
}

std::vector<DefaultsLayer> BranchDocuments::defaultsFor(std::string_view branch) const
{
    const std::string_view kind = kindOf(branch);
    std::vector<DefaultsLayer> layers { this->ownDefaults(RootBranch, kind) };
    std::size_t end = branch.find('/');
    while (true) {
        layers.push_back(this->ownDefaults(branch.substr(0, end), kind));
        if (end == std::string_view::npos) {
            break;
        }
        end = branch.find('/', end + 1);
    }
    std::erase_if(layers, [](const DefaultsLayer &layer) { return layer.fields == nullptr; });
    return layers;
}

std::vector<RawEntry> BranchDocuments::entriesOf(std::string_view branch) const
{
    std::vector<RawEntry> entries;
    const auto found = this->documents.find(branch);
    const json *object =
        found == this->documents.end() ? nullptr : findObject(found->second, "entries");
    if (object == nullptr) {
        return entries;
    }
    for (const auto &[name, fields] : object->items()) {
        if (fields.is_object()) {
            entries.push_back({ name, fileOf(branch), childPath("/entries", name), &fields });
        }
    }
    return entries;
}

} // namespace damaskgate::settings
