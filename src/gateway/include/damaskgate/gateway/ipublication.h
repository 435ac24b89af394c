#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "damaskgate/core/error.h"
#include "damaskgate/core/names.h"
#include "damaskgate/entry/ilookup.h"
#include "damaskgate/http/queryserver.h"
#include "damaskgate/mirror/imirrorsource.h"
#include "damaskgate/mirror/mirrortypes.h"
#include "damaskgate/settings/settingstypes.h"
#include "damaskgate/upstreams/endpointbook.h"

namespace damaskgate::gateway {

using Items = std::map<std::string, mirror::Item, std::less<>>;

/** A registration that names no endpoint. */
struct UnreadableItem
{
    std::string key;
    std::uint64_t revision = 0;
    std::string detail;
};

struct EndpointList
{
    std::vector<upstreams::RegisteredEndpoint> endpoints;
    std::vector<UnreadableItem> unreadable;
};

/** What a platform publishes, and how it asks hosts of the fleet, in its own words. */
class IPublication
{
public:
    virtual ~IPublication() = default;

    /** @return where the items are read from. */
    virtual mirror::IMirrorSource &source() = 0;

    /**
     * @return the settings among @p items; nothing when there are none, SettingsInvalid when they
     *         cannot be read
     */
    virtual std::optional<core::Result<settings::Settings>>
    readSettings(const Items &items) const = 0;

    /** @return the revision of the settings among @p items, or nothing when there are none. */
    virtual std::optional<std::uint64_t> settingsRevision(const Items &items) const = 0;

    /** @return the endpoints registered in @p items; reads only those that have changed. */
    virtual EndpointList readEndpoints(const Items &items) = 0;

    /** @return the failure domains whose endpoints are to get no work. */
    virtual std::set<core::DomainName> readWithdrawnDomains(const Items &items) const = 0;

    /** @return the answer to callers that ask which hosts to use. */
    virtual http::QueryResponse answerLookup(const http::Query &query,
                                             const std::vector<entry::LookupEntry> &entries,
                                             std::chrono::milliseconds timeToLive) const = 0;

    /** @return the answer to the platform's question whether this host is ready. */
    virtual http::QueryResponse answerReadiness(const http::Query &query, bool isReady) const = 0;
};

} // namespace damaskgate::gateway
