#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/balance/slotmessages.h"

namespace damaskgate::balance {

/**
 * Limits of the requests that one entry host may have in flight at the endpoints of one service.
 *
 * Endpoints in state Cold or Unknown get only requests granted by the service's owner, so that the
 * sum over all hosts is bounded. A host that cannot reach the owner keeps using warm endpoints and
 * sends nothing to cold or unknown ones.
 */
class ColdSlotQuotas
{
public:
    /**
     * @param firstSequence sequence before that of the first request. It is random so that a reply
     *        to an earlier process of this host does not match a request of this process.
     */
    explicit ColdSlotQuotas(std::uint64_t firstSequence);

    /** @param rampTime time from cold to warm; zero: endpoints have no cold phase */
    void applySettings(core::Duration rampTime, const std::set<core::EndpointName> &endpoints);

    /** @return number of requests that this host may have in flight at @p endpoint. */
    std::uint32_t limit(const core::EndpointName &endpoint, std::uint32_t slots,
                        core::Instant now) const;

    /** Records a response of @p endpoint; @p incarnation is set if the endpoint reports it. */
    void onResponse(const core::EndpointName &endpoint, std::optional<std::uint64_t> incarnation,
                    core::Instant now);

    /** Records that a connection to @p endpoint was lost or could not be established. */
    void onConnectionLost(const core::EndpointName &endpoint);

    /** Marks @p endpoint cold when it returns to service, such as after an ejection. */
    void onReadmitted(const core::EndpointName &endpoint);

    /** Request counts of one endpoint, supplied by the caller of makeRequests(). */
    struct Counts
    {
        std::uint32_t inFlight = 0;
        std::uint32_t wanted = 0;
    };

    /** @return requests to the owner, split so that each fits in a datagram. */
    std::vector<SlotRequest>
    makeRequests(const core::ServiceName &service, core::Instant now,
                 const std::function<Counts(const core::EndpointName &)> &counts);

    /** Applies a reply of the owner; ignores replies older than the one in force. */
    void onReply(const SlotReply &reply, core::Instant now);

    /** @return whether @p endpoint is warm or has no cold phase. */
    bool isWarm(const core::EndpointName &endpoint) const;

    /** @return the warm-up state of @p endpoint; Unknown if it is not in service. */
    WarmupState warmupState(const core::EndpointName &endpoint) const;

private:
    struct State
    {
        WarmupState warmupState = WarmupState::Unknown;
        core::Duration servedFor {};
        std::uint64_t incarnation = 0;
        std::uint64_t changedAt = 0; //!< first request that reports the latest change
        std::uint64_t appliedLeaseId = 0;
        std::uint64_t appliedSequence = 0;
        std::uint32_t quota = 0;
        core::Instant quotaEnd;
        core::Instant confirmedAt; //!< latest evidence that the endpoint has not restarted
    };

    struct SentRequest
    {
        std::uint64_t sequence = 0;
        core::Instant at;
    };

    void changeState(State &state, WarmupState warmupState);
    void applyQuota(const EndpointQuota &quota, std::uint64_t replyLeaseId,
                    const SentRequest &request, core::Instant now);

    core::Duration rampTime {};
    std::uint64_t sequence = 0;
    std::uint64_t round = 0;
    std::deque<SentRequest> sentRequests;
    std::map<core::EndpointName, State> states;
};

} // namespace damaskgate::balance
