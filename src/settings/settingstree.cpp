#include "damaskgate/settings/settingstree.h"

#include <algorithm>
#include <array>
#include <utility>

#include "branchdocuments.h"
#include "kindreader.h"
#include "referencecheck.h"

namespace damaskgate::settings {

namespace {

template <typename Entry>
std::vector<LocatedEntry<Entry>> readKind(const BranchDocuments &documents, std::string_view kind,
                                          Findings &findings)
{
    return KindReader<Entry>(documents, kind, findings).read();
}

void readFleet(const BranchDocuments &documents, LocatedTree &tree, Findings &findings)
{
    tree.domains = readKind<FailureDomain>(documents, kinds::Domains, findings);
    tree.hosts = readKind<Host>(documents, kinds::Hosts, findings);
}

LocatedTree readTree(const BranchDocuments &documents, Findings &findings)
{
    LocatedTree tree;
    readFleet(documents, tree, findings);
    tree.workspaces = readKind<Workspace>(documents, kinds::Workspaces, findings);
    tree.routes = readKind<Route>(documents, kinds::Routes, findings);
    tree.services = readKind<Service>(documents, kinds::Services, findings);
    tree.endpoints = readKind<EndpointEntry>(documents, kinds::Endpoints, findings);
    return tree;
}

template <typename Name, typename Entry>
void moveInto(std::map<Name, Entry> &target, std::vector<LocatedEntry<Entry>> &entries)
{
    for (auto &located : entries) {
        located.entry.name = Name(located.name);
        target.emplace(located.name, std::move(located.entry));
    }
}

void moveEndpoints(Settings &settings, std::vector<LocatedEntry<EndpointEntry>> &entries)
{
    for (auto &located : entries) {
        const auto service = settings.services.find(located.entry.service);
        located.entry.endpoint.name = core::EndpointName(located.name);
        if (service != settings.services.end()) {
            service->second.endpoints.emplace(located.name, std::move(located.entry.endpoint));
        }
    }
}

Settings assemble(LocatedTree &tree)
{
    Settings settings;
    moveInto(settings.domains, tree.domains);
    moveInto(settings.hosts, tree.hosts);
    moveInto(settings.workspaces, tree.workspaces);
    moveInto(settings.routes, tree.routes);
    moveInto(settings.services, tree.services);
    moveEndpoints(settings, tree.endpoints);
    return settings;
}

std::map<core::HostName, Host> readPreviousHosts(const TreeFiles &fleet, Findings &findings)
{
    std::map<core::HostName, Host> hosts;
    if (fleet.empty()) {
        return hosts;
    }
    Findings found;
    const BranchDocuments documents(fleet, found);
    LocatedTree tree;
    readFleet(documents, tree, found);
    checkFleetReferences(tree, found);
    for (Finding &finding : found) {
        finding.file.insert(0, "previous fleet, ");
        findings.push_back(std::move(finding));
    }
    moveInto(hosts, tree.hosts);
    return hosts;
}

template <typename Entry>
std::vector<ExplainedSetting> explainFields(const BranchDocuments &documents,
                                            std::string_view branch, const RawEntry &entry)
{
    std::vector<DefaultsLayer> layers = documents.defaultsFor(branch);
    layers.push_back({ entry.file, entry.path, entry.fields });
    std::vector<ExplainedSetting> settings;
    for (const FieldRule<Entry> &rule : fieldRules<Entry>()) {
        ExplainedSetting setting { std::string(rule.name), std::string(rule.builtInDefault), "",
                                   "" };
        for (const DefaultsLayer &layer : layers) {
            const auto value = layer.fields->find(rule.name);
            if (value != layer.fields->end()) {
                setting.value = value->dump();
                setting.file = layer.file;
                setting.path = childPath(layer.path, rule.name);
            }
        }
        settings.push_back(std::move(setting));
    }
    return settings;
}

struct KindExplainer
{
    std::string_view kind;
    std::vector<ExplainedSetting> (*explain)(const BranchDocuments &, std::string_view,
                                             const RawEntry &);
};

constexpr std::array KindExplainers {
    KindExplainer { kinds::Domains, explainFields<FailureDomain> },
    KindExplainer { kinds::Hosts, explainFields<Host> },
    KindExplainer { kinds::Workspaces, explainFields<Workspace> },
    KindExplainer { kinds::Routes, explainFields<Route> },
    KindExplainer { kinds::Services, explainFields<Service> },
    KindExplainer { kinds::Endpoints, explainFields<EndpointEntry> },
};

} // namespace

tl::expected<Settings, Findings> parseTree(const TreeFiles &tree, const TreeFiles &previousFleet)
{
    Findings findings;
    const BranchDocuments documents(tree, findings);
    LocatedTree located = readTree(documents, findings);
    checkReferences(located, findings);
    auto previousHosts = readPreviousHosts(previousFleet, findings);
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    Settings settings = assemble(located);
    settings.previousHosts = std::move(previousHosts);
    return settings;
}

bool isFleetBranch(std::string_view name)
{
    const std::string_view kind = kindOf(name);
    return name == RootBranch || kind == kinds::Domains || kind == kinds::Hosts;
}

std::vector<std::string> listEntries(const TreeFiles &tree)
{
    Findings ignored;
    const BranchDocuments documents(tree, ignored);
    std::vector<std::string> names;
    for (const KindExplainer &explainer : KindExplainers) {
        for (const std::string &branch : documents.branchesOf(explainer.kind)) {
            for (const RawEntry &entry : documents.entriesOf(branch)) {
                names.push_back(std::string(explainer.kind) + "/" + entry.name);
            }
        }
    }
    return names;
}

tl::expected<std::vector<ExplainedSetting>, Findings> explainEntry(const TreeFiles &tree,
                                                                   std::string_view entry)
{
    Findings findings;
    const BranchDocuments documents(tree, findings);
    if (!findings.empty()) {
        return tl::unexpected(std::move(findings));
    }
    const std::string_view kind = kindOf(entry);
    const auto *explainer = std::ranges::find(KindExplainers, kind, &KindExplainer::kind);
    if (explainer != KindExplainers.end() && entry.size() > kind.size()) {
        const std::string_view name = entry.substr(kind.size() + 1);
        for (const std::string &branch : documents.branchesOf(kind)) {
            const auto entries = documents.entriesOf(branch);
            const auto found = std::ranges::find(entries, name, &RawEntry::name);
            if (found != entries.end()) {
                return explainer->explain(documents, branch, *found);
            }
        }
    }
    return tl::unexpected(Findings {
        { std::string(entry), "", "expected <kind>/<name> of an entry, such as services/bokun" } });
}

} // namespace damaskgate::settings
