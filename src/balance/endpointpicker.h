#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/balance/balancetypes.h"

#include "coldlease.h"

namespace damaskgate::balance {

/**
 * Chooses endpoints of one service: among those in service and not ejected, the one with the
 * fewest requests of this host in flight; ties are broken at random.
 *
 * A warm endpoint takes up to its slots from this host; any other only what its cold lease allows.
 */
class EndpointPicker
{
public:
    /** @param firstSequence of the requests to the owner of the service; random */
    explicit EndpointPicker(std::uint64_t firstSequence);

    /** Takes over the endpoints of @p service that operators have in service. */
    void applySettings(const settings::Settings &settings, const settings::Service &service);

    /** Replaces the set of ejected endpoints. */
    void setEjected(const std::set<core::EndpointName> &endpoints);

    /** @return whether any usable endpoint is left besides @p excluded, busy or not. */
    bool hasCandidate(std::span<const core::EndpointName> excluded) const;

    /** @return an endpoint with a free slot that is not among @p excluded. */
    std::optional<core::EndpointName> pick(std::span<const core::EndpointName> excluded,
                                           core::Instant now, std::mt19937_64 &random) const;

    /** Counts one request of @p endpoint, which pick() has returned. */
    settings::Endpoint take(const core::EndpointName &endpoint);

    /** Counts one request of @p endpoint less. */
    void release(const core::EndpointName &endpoint);

    /**
     * Notes how an exchange of this host with @p endpoint ended. After connections that failed or
     * gave no answer other endpoints are preferred for a while; none is lost for this host.
     */
    void onOutcome(const core::EndpointName &endpoint, Outcome outcome, core::Instant now);

    /** @return requests of this host in flight at @p endpoint. */
    std::uint32_t inFlight(const core::EndpointName &endpoint) const;

    /** @return requests of this host in flight at all endpoints. */
    std::uint32_t inFlight() const;

    std::uint32_t slotsPerEndpoint() const;

    /** @return whether @p endpoint is past its cold phase as far as this host knows. */
    bool isWarm(const core::EndpointName &endpoint) const;

    /** @return what this host may send to cold endpoints. */
    ColdLease &coldLease();

private:
    struct Avoidance
    {
        std::uint32_t failures = 0; //!< in a row
        core::Instant until;
    };

    bool isAvoided(const core::EndpointName &endpoint, core::Instant now) const;
    bool isCandidate(const core::EndpointName &endpoint,
                     std::span<const core::EndpointName> excluded) const;

    std::uint32_t slots = 1;
    std::map<core::EndpointName, settings::Endpoint> candidates; //!< in service
    std::set<core::EndpointName> ejected;
    std::map<core::EndpointName, std::uint32_t> busy; //!< also endpoints that left the settings
    std::map<core::EndpointName, Avoidance> avoidances;
    ColdLease lease;
};

} // namespace damaskgate::balance
