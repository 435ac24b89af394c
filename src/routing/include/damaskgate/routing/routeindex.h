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

/** Finds the route of a request and the workspace of a key in one version of the settings. */
class RouteIndex
{
public:
    /** @param settings that are indexed; null gives an index that knows no route. */
    explicit RouteIndex(settings::SettingsPtr settings);

    /**
     * Finds the route with the longest prefix of @p path, on segment boundaries.
     *
     * @param path normalised by normalizeTarget()
     * @param method of the request
     * @param host that the request is addressed to, in lower case and without a port; its own
     *        routes go before those of any host
     * @return the route, which lives as long as the index, or RouteUnknown
     */
    core::Result<const settings::Route *> findRoute(std::string_view path, std::string_view method,
                                                    std::string_view host = {}) const;

    /** @return the workspace that @p key is in force for, or KeyMissing or KeyUnknown. */
    core::Result<const settings::Workspace *> findWorkspace(std::string_view key) const;

    /** @return the settings that the index was made of; may be null. */
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

    const RouteList *findLongestPrefix(std::string_view host, std::string_view path) const;

    settings::SettingsPtr source;
    std::unordered_map<std::string, RouteList, TextHash, std::equal_to<>> routesByPrefix;
    std::unordered_map<core::Sha256, const settings::Workspace *, DigestHash> workspacesByKey;
};

using RouteIndexPtr = std::shared_ptr<const RouteIndex>;

/** @return whether requests of @p workspace may use @p route. */
bool isAllowed(const settings::Route &route, const core::WorkspaceName &workspace);

} // namespace damaskgate::routing
