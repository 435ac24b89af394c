#include "referencecheck.h"

#include <algorithm>
#include <set>

namespace damaskgate::settings {

namespace {

template <typename Entry>
std::set<std::string_view> namesOf(const std::vector<LocatedEntry<Entry>> &entries)
{
    std::set<std::string_view> names;
    for (const auto &located : entries) {
        names.insert(located.name);
    }
    return names;
}

//! Reports references to entries that do not exist.
class ReferenceCheck
{
public:
    ReferenceCheck(std::string_view target, std::set<std::string_view> names, Findings &findings)
        : target(target), names(std::move(names)), findings(findings)
    {}

    template <typename Entry>
    void check(const LocatedEntry<Entry> &from, std::string_view field, const std::string &name)
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

//! Reports values that occur in more than one entry.
class UniquenessCheck
{
public:
    UniquenessCheck(std::string what, Findings &findings)
        : what(std::move(what)), findings(findings)
    {}

    template <typename Entry>
    void add(const LocatedEntry<Entry> &owner, std::string_view field, const std::string &value)
    {
        const auto [known, isNew] = this->ownersByValue.emplace(value, owner.name);
        if (!isNew) {
            this->findings.push_back({ owner.file, childPath(owner.path, field),
                                       "expected " + this->what + " that no other entry has, \""
                                           + known->second + "\" has the same" });
        }
    }

private:
    std::string what;
    Findings &findings;
    std::map<std::string, std::string> ownersByValue;
};

void checkHosts(const LocatedTree &tree, Findings &findings)
{
    ReferenceCheck domains(kinds::Domains, namesOf(tree.domains), findings);
    UniquenessCheck ports("an address and port", findings);
    for (const auto &located : tree.hosts) {
        const Host &host = located.entry;
        domains.check(located, "domain", host.domain.text());
        const auto addPort = [&](std::string_view field, std::uint16_t port) {
            if (port != 0) {
                ports.add(located, field, host.address + " " + std::to_string(port));
            }
        };
        addPort("callerPort", host.callerPort);
        addPort("peerPort", host.peerPort);
        addPort("operatorPort", host.operatorPort);
    }
}

void checkEndpoints(const LocatedTree &tree, Findings &findings)
{
    ReferenceCheck domains(kinds::Domains, namesOf(tree.domains), findings);
    ReferenceCheck services(kinds::Services, namesOf(tree.services), findings);
    UniquenessCheck ports("an address and port", findings);
    for (const auto &located : tree.endpoints) {
        const Endpoint &endpoint = located.entry.endpoint;
        domains.check(located, "domain", endpoint.domain.text());
        services.check(located, "service", located.entry.service.text());
        ports.add(located, "address", endpoint.address + " " + std::to_string(endpoint.port));
    }
}

void checkWorkspaces(const LocatedTree &tree, Findings &findings)
{
    UniquenessCheck keys("a key", findings);
    for (const auto &located : tree.workspaces) {
        for (const core::Sha256 &hash : located.entry.keyHashes) {
            keys.add(located, "keys", core::toHex(hash));
        }
    }
}

void checkOpenRoute(const LocatedEntry<Route> &located, Findings &findings)
{
    if (located.entry.isOpen && !located.entry.workspaces.empty()) {
        findings.push_back({ located.file, childPath(located.path, "workspaces"),
                             "expected no workspaces on an open route" });
    }
}

void checkRoutes(const LocatedTree &tree, Findings &findings)
{
    ReferenceCheck services(kinds::Services, namesOf(tree.services), findings);
    ReferenceCheck workspaces(kinds::Workspaces, namesOf(tree.workspaces), findings);
    UniquenessCheck paths("a path and method", findings);
    for (const auto &located : tree.routes) {
        const Route &route = located.entry;
        services.check(located, "service", route.service.text());
        for (const core::WorkspaceName &workspace : route.workspaces) {
            workspaces.check(located, "workspaces", workspace.text());
        }
        checkOpenRoute(located, findings);
        if (route.methods.empty()) {
            paths.add(located, "path", route.pathPrefix);
        }
        for (const std::string &method : route.methods) {
            paths.add(located, "methods", method + " " + route.pathPrefix);
        }
    }
}

template <typename Entry>
void checkNotEmpty(const std::vector<LocatedEntry<Entry>> &entries, std::string_view kind,
                   Findings &findings)
{
    if (entries.empty()) {
        findings.push_back({ std::string(kind) + ".json", "", "expected at least one entry" });
    }
}

} // namespace

void checkFleetReferences(const LocatedTree &tree, Findings &findings)
{
    checkNotEmpty(tree.domains, kinds::Domains, findings);
    checkNotEmpty(tree.hosts, kinds::Hosts, findings);
    checkHosts(tree, findings);
}

void checkReferences(const LocatedTree &tree, Findings &findings)
{
    checkFleetReferences(tree, findings);
    checkEndpoints(tree, findings);
    checkWorkspaces(tree, findings);
    checkRoutes(tree, findings);
}

} // namespace damaskgate::settings
