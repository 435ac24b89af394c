#pragma once

#include <cstddef>
#include <optional>

#include "damaskgate/core/time.h"
#include "damaskgate/limits/sharedbucket.h"

namespace damaskgate::upstreams {

/**
 * Keeps the requests of all hosts to one endpoint within a rate that the endpoint has announced.
 *
 * Hosts learn of each other's requests with a delay, in which many hosts could find the endpoint
 * free at the same moment. Therefore only a few hosts use it, selected by rank. They share the rate
 * by a common bucket, and a bucket of each host's own bounds what it sends while gossip items are
 * lost.
 */
class EndpointRateLimit
{
public:
    EndpointRateLimit(double requestsPerSecond, core::Instant now);

    /** @return the announced limit in requests per second of all hosts together. */
    double rate() const;

    /** Changes the rate; requests that were sent before still count. */
    void setRate(double requestsPerSecond, core::Instant now);

    /**
     * Sets whether this host may use the endpoint.
     *
     * @param rank number of hosts that come before this one for the endpoint
     * @param hostCount number of hosts including this one; at least 1
     */
    void setRank(std::size_t rank, std::size_t hostCount, core::Instant now);

    /** @return whether this host may send a request now. */
    bool hasToken(core::Instant now);

    /** Counts a request of this host. */
    void consume(core::Instant now);

    /** Counts a request of another host. */
    void consumeRemote(core::Instant now);

private:
    limits::BucketLimits fleetLimits() const;
    limits::BucketLimits ownLimits() const;
    std::size_t maxHosts() const;

    double announcedRate; //!< requests per second of all hosts together
    std::size_t rank = 0;
    std::size_t hostCount = 1;
    limits::SharedBucket fleetBucket; //!< requests of all hosts
    std::optional<limits::SharedBucket> ownBucket; //!< set if this host may use the endpoint
};

} // namespace damaskgate::upstreams
