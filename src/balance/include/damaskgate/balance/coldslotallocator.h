#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/balance/slotmessages.h"

namespace damaskgate::balance {

/**
 * Allocates the slots of the cold endpoints of one service to hosts. Runs on the service's owner.
 *
 * The number of requests that all hosts together may have in flight at a cold endpoint never
 * exceeds the endpoint's limit. The limit grows from one slot to all slots with the time that the
 * endpoint has served. A grant counts until its host confirms that it applies a newer one, or until
 * all exchanges started under it have ended.
 */
class ColdSlotAllocator
{
public:
    /**
     * @param leaseId id of the owner's lease
     * @param ownedSince time at which this host became the owner
     */
    ColdSlotAllocator(std::uint64_t leaseId, core::Instant ownedSince);

    /** Applies new settings. Endpoints added after the first call are cold. */
    void applySettings(const settings::Settings &settings, const settings::Service &service,
                       core::Instant now);

    /**
     * Records the use that a host reports and decides the host's quotas.
     *
     * @param host sender of the request
     * @param incarnation incarnation of the sending process
     * @return the reply; it omits endpoints for which a newer request was handled before
     */
    SlotReply onRequest(const core::HostName &host, std::uint64_t incarnation,
                        const SlotRequest &request, core::Instant now);

    /**
     * Returns the updates by which hosts stop using an endpoint as warm after it turned cold.
     *
     * @return replies to the latest requests of all hosts; each change is returned once
     */
    std::map<core::HostName, std::vector<SlotReply>> takeUpdates(const core::ServiceName &service);

    /** Marks @p endpoint cold when it returns to service after an ejection. */
    void onReadmitted(const core::EndpointName &endpoint, core::Instant now);

    WarmupState warmupState(const core::EndpointName &endpoint) const;

    /** @return number of requests that all hosts together may have in flight at @p endpoint. */
    std::uint32_t limit(const core::EndpointName &endpoint) const;

private:
    using HostKey = std::pair<core::HostName, std::uint64_t>; //!< name and incarnation

    struct Grant
    {
        std::uint64_t sequence = 0;
        std::uint32_t quota = 0;
        core::Instant end; //!< all exchanges started under the grant have ended by then
    };

    struct HostAllocation
    {
        std::uint64_t lastSequence = 0;
        std::uint32_t reportedUse = 0; //!< upper bound of its requests in flight
        core::Instant reportedUseEnd; //!< the reported exchanges have ended by then
        std::vector<Grant> grants; //!< grants that the host has not confirmed or replaced
        bool hasAppliedReply = false; //!< whether the host has applied a reply of this owner
        bool isWarm = false; //!< whether its latest request reports the endpoint warm or doubtful
        std::uint64_t warmSequence = 0; //!< latest request whose reply reported the endpoint warm
        std::uint64_t appliedSequence = 0;
        /**
         * Sequence number of the first request that was answered after the grants of the previous
         * owner had expired; zero if there is none yet.
         */
        std::uint64_t firstSafeSequence = 0;
        bool isWantingSlots = false;
        core::Instant lastRequestAt;
        core::Instant quotaSince; //!< start of the current quota above zero; epoch: no quota
        core::Instant lastQuotaAt; //!< latest grant of a quota above zero
    };

    struct State
    {
        WarmupState warmupState = WarmupState::Unknown;
        core::Instant changedAt;
        core::Duration servedFor {};
        core::Instant servedUntil;
        std::set<std::uint64_t> incarnations;
        std::map<HostKey, HostAllocation> allocations;
        std::map<core::HostName, core::Instant> doubtReports;
        bool hasWarmReport = false;
        bool hasColdReport = false;
        core::Duration reportedServedFor {};
        bool isUpdatePending = false; //!< whether it turned cold since the last takeUpdates()
    };

    void recordUse(HostAllocation &allocation, const EndpointUse &use, std::uint64_t sequence,
                   core::Instant now) const;
    void updateState(State &state, const core::HostName &host, const EndpointUse &use,
                     core::Instant now) const;
    void recordInitialReport(State &state, const EndpointUse &use) const;
    void resolveInitialState(State &state, core::Instant now) const;
    void markCold(State &state, core::Duration servedFor, core::Instant now) const;
    void advanceWarmup(State &state, core::Instant now) const;
    std::uint32_t decideQuota(State &state, const HostKey &host, std::uint32_t wanted,
                              core::Instant now) const;
    std::uint32_t fairQuota(const State &state, const HostKey &host, std::uint32_t room,
                            std::uint32_t wanted, core::Instant now) const;
    bool isGrantingAllowed(const State &state, core::Instant now) const;
    void recordGrant(HostAllocation &allocation, WarmupState warmupState, std::uint32_t quota,
                     core::Instant now) const;
    bool haveAllHostsAppliedReplies(const State &state, core::Instant now) const;
    std::uint32_t limit(const State &state) const;
    static std::uint32_t outstanding(const HostAllocation &allocation, core::Instant now);

    std::uint64_t leaseId;
    core::Instant ownedSince;
    std::uint32_t slots = 1;
    core::Duration rampTime {};
    core::Duration maxExchangeTime {}; //!< longest route timeout of the service
    bool hasSettings = false;
    std::set<core::HostName> hosts;
    std::map<core::EndpointName, State> states;
};

} // namespace damaskgate::balance
