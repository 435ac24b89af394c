#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "damaskgate/balance/servicequeue.h"
#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"
#include "damaskgate/upstreams/decayingcount.h"

namespace damaskgate::upstreams {

/**
 * Slots of the usable endpoints of a service, as this host knows. Those of an endpoint count by the
 * probability that it is healthy.
 */
struct Room
{
    double free = 0; //!< slots without a request of any host
    double slots = 0;
};

/**
 * Decides which requests of this host start and which wait when a service is short of room.
 *
 * Answers a burst of long, less urgent work that fills the endpoints while short, urgent requests
 * arrive. Less urgent requests start only while more slots are free than the urgent ones will need
 * before all hosts know of each other's choices. Requests to a service whose routes have one
 * priority, and those of the most urgent priority, never wait. Uses neither a clock nor the
 * network. docs/design/09-contention.md gives the reasons.
 */
class ContentionScheduler
{
public:
    enum class Decision {
        Start, //!< send the request to an endpoint now
        Wait, //!< takeStartable() returns it later
        Refuse, //!< too many requests wait at this host
    };

    struct Admission
    {
        Decision decision = Decision::Start;
        std::optional<std::uint64_t> dropped {}; //!< waiting request that made room; it is refused
    };

    /** Time in which hosts learn of each other's choices, at most. */
    static constexpr core::Duration LearningTime = std::chrono::milliseconds(150);
    /** Longest wait of a request; afterwards it starts whatever the room. */
    static constexpr core::Duration MaxWait = std::chrono::seconds(2);
    /** Limit of the waiting requests for one service at this host. */
    static constexpr std::size_t MaxWaiting = 1000;

    /** What this host knows of a service and of the hosts that use it. */
    struct Fleet
    {
        Room room;
        std::size_t hostCount = 1; //!< hosts that share the free slots, with this one
    };

    explicit ContentionScheduler(std::uint64_t seed);

    /** Takes the priorities of the routes and the weights of the workspaces from @p settings. */
    void applySettings(const settings::Settings &settings);

    /** @return whether @p request may have to wait for more urgent ones. */
    bool isOrdered(const balance::WorkRequest &request) const;

    /** Counts a request that this or another host sends to an endpoint of @p service. */
    void onStarted(const core::ServiceName &service, std::uint32_t priority, core::Instant now);

    /**
     * Decides on a new request for which isOrdered() holds.
     *
     * @param id identifies the request in remove() and takeStartable()
     * @param typicalLatency of its route; nothing if it is not known
     */
    Admission onRequest(std::uint64_t id, const balance::WorkRequest &request,
                        std::optional<core::Duration> typicalLatency, const Fleet &fleet,
                        core::Instant now);

    /**
     * Removes and returns the waiting requests to @p service that start now, in order.
     */
    std::vector<balance::QueuedRequest> takeStartable(const core::ServiceName &service,
                                                      const Fleet &fleet, core::Instant now);

    /** Removes the request @p id if it waits. */
    void remove(std::uint64_t id);

    /** @return the services for which requests wait. */
    std::vector<core::ServiceName> waitingServices() const;

    /** @return the number of requests that wait for @p service. */
    std::size_t waitingCount(const core::ServiceName &service) const;

    /** @return the slots of @p service that requests of @p priority leave free. */
    double reserve(const core::ServiceName &service, std::uint32_t priority,
                   core::Instant now) const;

private:
    struct Service
    {
        std::set<std::uint32_t> priorities; //!< of the routes that lead to the service
        std::map<std::uint32_t, DecayingCount> arrivals; //!< by priority
        balance::ServiceQueue queue;
        double allowance = 0; //!< starts of this host that its part of the free slots allows
        core::Instant allowedAt; //!< when the allowance was last increased
    };

    std::uint32_t weightOf(const core::WorkspaceName &workspace) const;
    bool tryStart(Service &service, double excess, std::size_t hostCount, core::Instant now);

    std::map<core::ServiceName, Service> services;
    std::map<core::WorkspaceName, std::uint32_t> weights;
    std::mt19937_64 random;
};

} // namespace damaskgate::upstreams
