#include "damaskgate/routing/routeindex.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace damaskgate::routing {

namespace {

bool acceptsMethod(const settings::Route &route, std::string_view method)
{
    return route.methods.empty() || std::ranges::find(route.methods, method) != route.methods.end();
}

} // namespace

std::size_t RouteIndex::TextHash::operator()(std::string_view text) const noexcept
{
    return std::hash<std::string_view> {}(text);
}

std::size_t RouteIndex::DigestHash::operator()(const core::Sha256 &digest) const noexcept
{
    std::size_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

RouteIndex::RouteIndex(settings::SettingsPtr settings) : indexedSettings(std::move(settings))
{
    if (!this->indexedSettings) {
        return;
    }
    for (const auto &[name, route] : this->indexedSettings->routes) {
        this->routesByHost[route.host][route.pathPrefix].push_back(&route);
    }
    this->workspacesByKey.reserve(this->indexedSettings->workspaces.size());
    for (const auto &[name, workspace] : this->indexedSettings->workspaces) {
        for (const core::Sha256 &hash : workspace.keyHashes) {
            this->workspacesByKey.emplace(hash, &workspace);
        }
    }
}

core::Result<const settings::Route *>
RouteIndex::findRoute(std::string_view path, std::string_view method, std::string_view host) const
{
    const RouteList *routes = this->findLongestPrefix(host, path);
    if (routes == nullptr && !host.empty()) {
        routes = this->findLongestPrefix({}, path);
    }
    if (routes == nullptr) {
        return core::notRun(core::Reason::RouteUnknown, "no route for this path");
    }
    const auto accepts = [method](const settings::Route *route) {
        return acceptsMethod(*route, method);
    };
    const auto found = std::ranges::find_if(*routes, accepts);
    if (found == routes->end()) {
        return core::notRun(core::Reason::RouteUnknown, "no route for this method");
    }
    return *found;
}

core::Result<const settings::Workspace *> RouteIndex::findWorkspace(std::string_view key) const
{
    if (key.empty()) {
        return core::notRun(core::Reason::KeyMissing, "this route requires a key");
    }
    const auto found = this->workspacesByKey.find(core::sha256(key));
    if (found == this->workspacesByKey.end()) {
        return core::notRun(core::Reason::KeyUnknown, "the key is unknown or was revoked");
    }
    return found->second;
}

const settings::SettingsPtr &RouteIndex::settings() const
{
    return this->indexedSettings;
}

const RouteIndex::RouteList *RouteIndex::findLongestPrefix(std::string_view host,
                                                           std::string_view path) const
{
    const auto routesOfHost = this->routesByHost.find(host);
    if (routesOfHost == this->routesByHost.end()) {
        return nullptr;
    }
    const RoutesByPrefix &routes = routesOfHost->second;
    std::string_view prefix = path;
    while (!prefix.empty()) {
        const auto found = routes.find(prefix);
        if (found != routes.end()) {
            return &found->second;
        }
        // The next shorter prefix that can match ends before or after the last slash.
        prefix = prefix.ends_with('/') ? prefix.substr(0, prefix.size() - 1)
                                       : prefix.substr(0, prefix.rfind('/') + 1);
    }
    return nullptr;
}

bool isAllowed(const settings::Route &route, const core::WorkspaceName &workspace)
{
    return route.workspaces.empty()
        || std::ranges::find(route.workspaces, workspace) != route.workspaces.end();
}

} // namespace damaskgate::routing
