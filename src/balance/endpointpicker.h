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

#include "coldslotquotas.h"

namespace damaskgate::balance {

/**
 * Selects endpoints of one service. Among the endpoints in service that are not ejected it selects
 * the one with the fewest requests of this host in flight; ties are broken at random.
 *
 * A warm endpoint gets requests of this host for up to all its slots; ColdSlotQuotas limits the
 * requests to any other endpoint.
 */
class EndpointPicker
{
public:
    /** @param firstSequence random start of the sequence of requests to the service's owner */
    explicit EndpointPicker(std::uint64_t firstSequence);

    /** Replaces the candidates by the endpoints of @p service that are in service. */
    void applySettings(const settings::Settings &settings, const settings::Service &service);

    /** Replaces the set of ejected endpoints. */
    void setEjected(const std::set<core::EndpointName> &endpoints);

    /** @return whether an endpoint besides @p excluded is usable, with or without a free slot. */
    bool hasCandidate(std::span<const core::EndpointName> excluded) const;

    /** @return an endpoint with a free slot that is not among @p excluded. */
    std::optional<core::EndpointName> pick(std::span<const core::EndpointName> excluded,
                                           core::Instant now, std::mt19937_64 &random) const;

    /** Adds one request in flight at @p endpoint, which pick() has returned. */
    settings::Endpoint acquire(const core::EndpointName &endpoint);

    /** Removes one request in flight at @p endpoint. */
    void release(const core::EndpointName &endpoint);

    /**
     * Records how an exchange of this host with @p endpoint ended. After a failed connection or a
     * missing response other endpoints are preferred for a time that doubles with each failure up
     * to 16 s. The endpoint is still used if no other has a free slot.
     */
    void onOutcome(const core::EndpointName &endpoint, Outcome outcome, core::Instant now);

    /** @return number of requests of this host in flight at @p endpoint. */
    std::uint32_t inFlight(const core::EndpointName &endpoint) const;

    /** @return number of requests of this host in flight at all endpoints. */
    std::uint32_t inFlight() const;

    std::uint32_t slotsPerEndpoint() const;

    /** @return whether this host knows @p endpoint to be warm or without a cold phase. */
    bool isWarm(const core::EndpointName &endpoint) const;

    /** @return the limits of this host at the endpoints of the service. */
    ColdSlotQuotas &coldSlotQuotas();

private:
    struct Avoidance
    {
        std::uint32_t failures = 0; //!< consecutive failures
        core::Instant until;
    };

    bool isAvoided(const core::EndpointName &endpoint, core::Instant now) const;
    bool isCandidate(const core::EndpointName &endpoint,
                     std::span<const core::EndpointName> excluded) const;

    std::uint32_t slots = 1;
    std::map<core::EndpointName, settings::Endpoint> candidates; //!< endpoints in service
    std::set<core::EndpointName> ejected;
    std::map<core::EndpointName, std::uint32_t>
        inFlightCounts; //!< includes endpoints removed from the settings
    std::map<core::EndpointName, Avoidance> avoidances;
    ColdSlotQuotas quotas;
};

} // namespace damaskgate::balance
