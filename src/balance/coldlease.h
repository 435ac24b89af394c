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
 * What one entry host may send to the endpoints of one service.
 *
 * Endpoints that are cold, or of which nothing is known, take only requests under a grant of the
 * service's owner, so that the sum over all hosts is bounded. A host that has lost the owner goes
 * on with warm endpoints and sends nothing to the others.
 */
class ColdLease
{
public:
    /**
     * @param firstSequence of the requests; random, so that no answer to an earlier process of
     *        this host can be taken for one to this process
     */
    explicit ColdLease(std::uint64_t firstSequence);

    /** @param ramp from cold to warm; zero: endpoints have no cold phase */
    void applySettings(core::Duration ramp, const std::set<core::EndpointName> &endpoints);

    /** @return requests that this host may have in flight at @p endpoint. */
    std::uint32_t limit(const core::EndpointName &endpoint, std::uint32_t slots,
                        core::Instant now) const;

    /** An answer of @p endpoint; @p incarnation is set where the endpoint reports it. */
    void onAnswer(const core::EndpointName &endpoint, std::optional<std::uint64_t> incarnation,
                  core::Instant now);

    /** A connection to @p endpoint broke or could not be made. */
    void onConnectionLost(const core::EndpointName &endpoint);

    /** @p endpoint goes into service again and is cold, such as after an ejection. */
    void onReadmitted(const core::EndpointName &endpoint);

    /** Counts of one endpoint that the caller of makeRequests() knows. */
    struct Counts
    {
        std::uint32_t inFlight = 0;
        std::uint32_t wanted = 0;
    };

    /** @return requests to the owner, split so that each fits in a datagram. */
    std::vector<SlotRequest>
    makeRequests(const core::ServiceName &service, core::Instant now,
                 const std::function<Counts(const core::EndpointName &)> &counts);

    /** Applies an answer of the owner; older ones than applied are ignored. */
    void onAnswer(const SlotReply &answer, core::Instant now);

    /** @return whether @p endpoint is warm or has no cold phase. */
    bool isWarm(const core::EndpointName &endpoint) const;

    /** @return the warmupState of @p endpoint. */
    WarmupState warmupState(const core::EndpointName &endpoint) const;

private:
    struct State
    {
        WarmupState warmupState = WarmupState::Unknown;
        core::Duration servedFor {};
        std::uint64_t incarnation = 0;
        std::uint64_t changedAt = 0; //!< sequence from which requests tell the latest change
        std::uint64_t appliedLeaseId = 0;
        std::uint64_t appliedSequence = 0;
        std::uint32_t quota = 0;
        core::Instant quotaEnd;
        core::Instant confirmedAt; //!< latest sign that a warm endpoint is the one known
    };

    struct Sent
    {
        std::uint64_t sequence = 0;
        core::Instant at;
    };

    void change(State &state, WarmupState warmupState);
    void applyQuota(const EndpointQuota &quota, std::uint64_t answerHolding, const Sent &request,
                    core::Instant now);

    core::Duration ramp {};
    std::uint64_t sequence = 0;
    std::uint64_t round = 0;
    std::deque<Sent> sent;
    std::map<core::EndpointName, State> states;
};

} // namespace damaskgate::balance
