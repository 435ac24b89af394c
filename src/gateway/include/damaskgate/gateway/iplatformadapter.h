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
#include "damaskgate/upstreams/endpointselector.h"

namespace damaskgate::gateway {

using Items = std::map<std::string, mirror::Item, std::less<>>;

/** A registration that could not be parsed. */
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
    /**
     * Whether the source has come back from an older copy since the last list. What was published
     * shortly before is missing until it is published again.
     */
    bool isSourceReset = false;
};

/**
 * Translates between a platform and the gateway: reads settings and endpoints in the platform's
 * formats and writes responses to look-ups and readiness checks.
 */
class IPlatformAdapter
{
public:
    virtual ~IPlatformAdapter() = default;

    /** @return the source that publishes the items. */
    virtual mirror::IMirrorSource &source() = 0;

    /** Reads the source at @p address from now on; an `IP:PORT` that is valid. */
    virtual void setSourceAddress(const std::string &address) = 0;

    /**
     * @return the settings in @p items, nothing if there are none, or SettingsInvalid if they are
     *         malformed
     */
    virtual std::optional<core::Result<settings::Settings>>
    readSettings(const Items &items) const = 0;

    /** @return the revision of the settings item in @p items, or nothing if there is none. */
    virtual std::optional<std::uint64_t> settingsRevision(const Items &items) const = 0;

    /** @return the endpoints registered in @p items; parses only new and changed registrations. */
    virtual EndpointList readEndpoints(const Items &items) = 0;

    /** @return the withdrawn failure domains; their endpoints must not get requests. */
    virtual std::set<core::DomainName> readWithdrawnDomains(const Items &items) const = 0;

    /** @return the response to a look-up of the hosts that callers can use. */
    virtual http::QueryResponse makeLookupResponse(const http::Query &query,
                                                   const std::vector<entry::LookupEntry> &entries,
                                                   std::chrono::milliseconds timeToLive) const = 0;

    /** @return the response to a readiness check of the platform. */
    virtual http::QueryResponse makeReadinessResponse(const http::Query &query,
                                                      bool isReady) const = 0;
};

} // namespace damaskgate::gateway
