#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/hash.h"
#include "damaskgate/settings/settingstypes.h"

namespace damaskgate::routing {

/** Finds the route of a request and the workspace of a key in one revision of the settings. */
class RouteIndex
{
public:
    /** @param settings settings to index; null gives an index without routes and keys */
    explicit RouteIndex(settings::SettingsPtr settings);

    /**
     * Finds the route that accepts @p method among the routes with the longest path prefix that
     * matches @p path. A prefix that ends with a slash matches the paths that begin with it. Any
     * other prefix matches the path that is equal to it and the paths below that one. Routes
     * without a host are searched only if no route of @p host matches the path.
     *
     * @param path path that begins with a slash; compared octet by octet
     * @param method HTTP method, compared case-sensitively
     * @param host host name of the request, in lower case and without a port
     * @return the route, which is valid as long as the index, or RouteUnknown
     */
    core::Result<const settings::Route *> findRoute(std::string_view path, std::string_view method,
                                                    std::string_view host = {}) const;

    /** @return the workspace of @p key; KeyMissing if it is empty; KeyUnknown if none has it. */
    core::Result<const settings::Workspace *> findWorkspace(std::string_view key) const;

    /** @return the indexed settings; may be null. */
    const settings::SettingsPtr &settings() const;

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const noexcept;
    };
    struct DigestHash
    {
        std::size_t operator()(const core::Sha256 &digest) const noexcept;
    };
    using RouteList = std::vector<const settings::Route *>;
    using RoutesByPrefix = std::unordered_map<std::string, RouteList, TextHash, std::equal_to<>>;

    const RouteList *findLongestPrefix(std::string_view host, std::string_view path) const;

    settings::SettingsPtr indexedSettings;
    std::unordered_map<std::string, RoutesByPrefix, TextHash, std::equal_to<>> routesByHost;
    std::unordered_map<core::Sha256, const settings::Workspace *, DigestHash> workspacesByKey;
};

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

/** @return whether requests of @p workspace may use @p route. */
bool isAllowed(const settings::Route &route, const core::WorkspaceName &workspace);

} // namespace damaskgate::routing
