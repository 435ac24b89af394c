#include "referencecheck.h"

#include <algorithm>
#include <set>

namespace damaskgate::settings {

namespace {

//! Names of the entries of one kind.
template <typename Entry>
std::set<std::string_view> namesOf(const std::vector<PlacedEntry<Entry>> &entries)
{
    std::set<std::string_view> names;
    for (const auto &placed : entries) {
        names.insert(placed.name);
    }
    return names;
}

//! Reports references from entries of one kind to names of another.
class ReferenceCheck
{
public:
    ReferenceCheck(std::string_view target, std::set<std::string_view> names, Findings &findings)
        : target(target), names(std::move(names)), findings(findings)
    {}

    template <typename Entry>
    void check(const PlacedEntry<Entry> &from, std::string_view field, const std::string &name)
    {
        if (!name.empty() && !this->names.contains(name)) {
            this->findings.push_back({ from.file, childPath(from.path, field),
                                       "expected the name of an entry in "
                                           + std::string(this->target) + ", found \"" + name
                                           + "\"" });
        }
    }

private:
    std::string_view target;
    std::set<std::string_view> names;
    Findings &findings;
};

//! Reports values that two entries share.
class UniqueCheck
{
public:
    UniqueCheck(std::string what, Findings &findings) : what(std::move(what)), findings(findings) {}

    template <typename Entry>
    void add(const PlacedEntry<Entry> &owner, std::string_view field, const std::string &value)
    {
        const auto [known, isNew] = this->owners.emplace(value, owner.name);
        if (!isNew) {
            this->findings.push_back({ owner.file, childPath(owner.path, field),
                                       "expected " + this->what + " that no other entry has, \""
                                           + known->second + "\" has the same" });
        }
    }

private:
    std::string what;
    Findings &findings;
    std::map<std::string, std::string> owners;
};

void checkHosts(const PlacedTree &tree, Findings &findings)
{
    ReferenceCheck domains(kinds::Domains, namesOf(tree.domains), findings);
    UniqueCheck ports("an address and port", findings);
    for (const auto &placed : tree.hosts) {
        const Host &host = placed.entry;
        domains.check(placed, "domain", host.domain.text());
        const auto addPort = [&](std::string_view field, std::uint16_t port) {
            if (port != 0) {
                ports.add(placed, field, host.address + " " + std::to_string(port));
            }
        };
        addPort("callerPort", host.callerPort);
        addPort("peerPort", host.peerPort);
        addPort("operatorPort", host.operatorPort);
    }
}

void checkEndpoints(const PlacedTree &tree, Findings &findings)
{
    ReferenceCheck domains(kinds::Domains, namesOf(tree.domains), findings);
    ReferenceCheck services(kinds::Services, namesOf(tree.services), findings);
    UniqueCheck ports("an address and port", findings);
    for (const auto &placed : tree.endpoints) {
        const Endpoint &endpoint = placed.entry.endpoint;
        domains.check(placed, "domain", endpoint.domain.text());
        services.check(placed, "service", placed.entry.service.text());
        ports.add(placed, "address", endpoint.address + " " + std::to_string(endpoint.port));
    }
}

void checkWorkspaces(const PlacedTree &tree, Findings &findings)
{
    UniqueCheck keys("a key", findings);
    for (const auto &placed : tree.workspaces) {
        for (const core::Sha256 &hash : placed.entry.keyHashes) {
            keys.add(placed, "keys", core::toHex(hash));
        }
    }
}

void checkOpenRoute(const PlacedEntry<Route> &placed, Findings &findings)
{
    if (placed.entry.isOpen && !placed.entry.workspaces.empty()) {
        findings.push_back({ placed.file, childPath(placed.path, "workspaces"),
                             "expected no workspaces on an open route" });
    }
}

void checkRoutes(const PlacedTree &tree, Findings &findings)
{
    ReferenceCheck services(kinds::Services, namesOf(tree.services), findings);
    ReferenceCheck workspaces(kinds::Workspaces, namesOf(tree.workspaces), findings);
    UniqueCheck paths("a path and method", findings);
    for (const auto &placed : tree.routes) {
        const Route &route = placed.entry;
        services.check(placed, "service", route.service.text());
        for (const core::WorkspaceName &workspace : route.workspaces) {
            workspaces.check(placed, "workspaces", workspace.text());
        }
        checkOpenRoute(placed, findings);
        if (route.methods.empty()) {
            paths.add(placed, "path", route.pathPrefix);
        }
        for (const std::string &method : route.methods) {
            paths.add(placed, "methods", method + " " + route.pathPrefix);
        }
    }
}

template <typename Entry>
void checkNotEmpty(const std::vector<PlacedEntry<Entry>> &entries, std::string_view kind,
                   Findings &findings)
{
    if (entries.empty()) {
        findings.push_back({ std::string(kind) + ".json", "", "expected at least one entry" });
    }
}

} // namespace

void checkFleetReferences(const PlacedTree &tree, Findings &findings)
{
    checkNotEmpty(tree.domains, kinds::Domains, findings);
    checkNotEmpty(tree.hosts, kinds::Hosts, findings);
    checkHosts(tree, findings);
}

void checkReferences(const PlacedTree &tree, Findings &findings)
{
    checkFleetReferences(tree, findings);
    checkEndpoints(tree, findings);
    checkWorkspaces(tree, findings);
    checkRoutes(tree, findings);
}

} // namespace damaskgate::settings
