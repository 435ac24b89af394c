#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "damaskgate/balance/ibalancer.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/fleet/igossipchannel.h"
#include "damaskgate/limits/sharedadmission.h"
#include "damaskgate/upstreams/contentionscheduler.h"
#include "damaskgate/upstreams/endpointselector.h"
#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::upstreams {

/**
 * Selects an endpoint for each request from the outcomes that all hosts have seen. Less urgent
 * requests to a service that is short of room wait; see ContentionScheduler. Publishes the start
 * and the end of each request to the other hosts and applies theirs. Not thread-safe.
 */
class FleetBalancer final : public balance::IBalancer
{
public:
    struct Dependencies
    {
        const core::IClock &clock;
        core::IEventSink &events;
        fleet::IGossipChannel &gossip;
        EndpointSelector &selector;
        limits::SharedAdmission &admission;
        FleetRetryBudget &retries;
    };

    /** @param seed differs between hosts, so that they do not decide alike */
    explicit FleetBalancer(const Dependencies &dependencies, std::uint64_t seed = 1);

    /** Interval at which tick() is to be called while requests wait. */
    static constexpr std::chrono::milliseconds TickInterval { 20 };

    /** Takes the priorities and weights by which requests are ordered. */
    void applySettings(const settings::Settings &settings);

    /** Sets @p listener, which is called when the first request begins to wait. */
    void setWaitListener(std::function<void()> listener);

    /** Starts the waiting requests that may start. @return whether requests still wait */
    bool tick();

    std::uint64_t acquire(const balance::WorkRequest &request, Done done) override;
    void cancel(std::uint64_t requestId) override;
    void release(std::uint64_t grantId, const balance::ExchangeReport &report) override;

    /**
     * Records that this host refused a request to @p service before sending it. The refusal counts
     * in the failure rate of the service, and is published, only if @p reason is a lack of usable
     * endpoints or the rate of a workspace: a proper request is not served then.
     */
    void onRefused(const core::ServiceName &service, core::Reason reason);

private:
    struct ActiveAttempt
    {
        balance::WorkRequest request;
        Choice choice;
    };

    void start(const balance::WorkRequest &request, const Done &done);
    void serveWaiting(const core::ServiceName &service);
    void refuseWaiting(std::uint64_t requestId);
    void recordWaiting(const core::ServiceName &service, const Room &room, std::uint32_t priority);
    balance::Outcome classifyOutcome(const ActiveAttempt &attempt,
                                     const balance::ExchangeReport &report) const;
    void recordAttempt(const ActiveAttempt &attempt, const balance::ExchangeReport &report);
    void onGossipItem(const fleet::GossipItem &item);
    void onNotice(const ActiveAttempt &attempt, const balance::EndpointNotice &notice);
    /** @return whether it was not known before; @p origin is logged */
    bool recordLeaving(std::uint32_t endpointHash, std::uint32_t startStamp,
                       std::string_view origin);
    void recordRateLimit(std::uint32_t endpointHash, std::optional<double> requestsPerSecond,
                         std::string_view origin);
    /** @return the gossip items that tell a host that has just started what this host knows. */
    std::vector<fleet::GossipItem> snapshot() const;
    void onRemoteBelief(const fleet::GossipItem &item);
    void onRemoteEnd(const fleet::GossipItem &item);
    void applyRateLimit(const fleet::GossipItem &item);
    void onRemoteRefusal(std::uint32_t serviceHash);
    /** @return the service of the endpoint, if it is known */
    std::optional<core::ServiceName> countRemoteStart(const fleet::GossipItem &item);
    void onRemoteStart(const fleet::GossipItem &item, bool isRetry);

    Dependencies dependencies;
    std::map<std::uint64_t, ActiveAttempt> activeAttempts; //!< by grant id
    std::uint64_t lastGrant = 0;
    ContentionScheduler scheduler;
    std::map<std::uint64_t, Done> waiting; //!< by request id
    std::uint64_t lastRequest = 0;
    std::function<void()> waitListener;
};

} // namespace damaskgate::upstreams
