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
 * Grants the slots of the cold endpoints of one service; kept by the service's owner.
 *
 * The requests that all hosts may have in flight at a cold endpoint never exceed its limit, which
 * grows from one to all slots with the time it has served. A grant counts until its host has told
 * that it keeps to a newer one, or until everything begun under it has ended.
 */
class ColdSlotAllocator
{
public:
    /**
     * @param leaseId of the owner's lease
     * @param ownedSince when this host became the owner
     */
    ColdSlotAllocator(std::uint64_t leaseId, core::Instant ownedSince);

    /** Endpoints that appear after the first call are cold. */
    void applySettings(const settings::Settings &settings, const settings::Service &service,
                       core::Instant now);

    /**
     * Counts what a host tells and decides its quotas.
     *
     * @param host the sender
     * @param incarnation of the sending process
     * @return the answer; without endpoints where the request was older than one before
     */
    SlotReply onRequest(const core::HostName &host, std::uint64_t incarnation,
                        const SlotRequest &request, core::Instant now);

    /**
     * Tells hosts that still take an endpoint for warm that it is cold.
     *
     * @return answers to the latest requests of all hosts, once for each change
     */
    std::map<core::HostName, std::vector<SlotReply>> takeUpdates(const core::ServiceName &service);

    /** @p endpoint goes into service after an ejection. */
    void onReadmitted(const core::EndpointName &endpoint, core::Instant now);

    WarmupState warmupState(const core::EndpointName &endpoint) const;

    /** @return requests that all hosts together may have in flight at @p endpoint. */
    std::uint32_t limit(const core::EndpointName &endpoint) const;

private:
    using HostKey = std::pair<core::HostName, std::uint64_t>; //!< name and incarnation

    struct Grant
    {
        std::uint64_t sequence = 0;
        std::uint32_t quota = 0;
        core::Instant end; //!< when everything begun under it has ended
    };

    struct Loan
    {
        std::uint64_t lastSequence = 0;
        std::uint32_t told = 0; //!< upper bound by the latest request
        core::Instant toldEnd;
        std::vector<Grant> grants; //!< not known to be applied or replaced
        bool isHeard = false; //!< has applied an answer of this owner
        bool isWarm = false; //!< by its latest request, uses the endpoint as a warm one
        std::uint64_t warmSequence = 0; //!< latest request that was answered with Warm
        std::uint64_t appliedSequence = 0;
        std::uint64_t settledSequence = 0; //!< first answered after the predecessor's grants ended
        bool isWaiting = false;
        core::Instant heardAt;
        core::Instant heldSince; //!< of a quota above zero
        core::Instant lastTurn; //!< when it last had a quota
    };

    struct State
    {
        WarmupState warmupState = WarmupState::Unknown;
        core::Instant changedAt;
        core::Duration servedFor {};
        core::Instant servedUntil;
        std::set<std::uint64_t> incarnations;
        std::map<HostKey, Loan> loans;
        std::map<core::HostName, core::Instant> doubts;
        bool hasWarmClaim = false;
        bool hasColdClaim = false;
        core::Duration claimedServedFor {};
        bool isUnannounced = false; //!< has turned cold since the last takeUpdates()
    };

    void count(Loan &loan, const EndpointUse &use, std::uint64_t sequence, core::Instant now) const;
    void learn(State &state, const core::HostName &host, const EndpointUse &use,
               core::Instant now) const;
    void noteClaim(State &state, const EndpointUse &use) const;
    void settle(State &state, core::Instant now) const;
    void turnCold(State &state, core::Duration servedFor, core::Instant now) const;
    void advance(State &state, core::Instant now) const;
    std::uint32_t decide(State &state, const HostKey &host, std::uint32_t wanted,
                         core::Instant now) const;
    std::uint32_t fairQuota(const State &state, const HostKey &host, std::uint32_t room,
                            std::uint32_t wanted, core::Instant now) const;
    bool isGrantingAllowed(const State &state, core::Instant now) const;
    void remember(Loan &loan, WarmupState warmupState, std::uint32_t quota,
                  core::Instant now) const;
    bool haveAllHostsAnswered(const State &state, core::Instant now) const;
    std::uint32_t limit(const State &state) const;
    static std::uint32_t outstanding(const Loan &loan, core::Instant now);

    std::uint64_t leaseId;
    core::Instant ownedSince;
    std::uint32_t slots = 1;
    core::Duration ramp {};
    core::Duration exchangeLimit {}; //!< no exchange lasts longer
    bool hasSettings = false;
    std::set<core::HostName> hosts;
    std::map<core::EndpointName, State> states;
};

} // namespace damaskgate::balance
