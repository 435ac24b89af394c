#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include "damaskgate/core/time.h"
#include "damaskgate/settings/settingstypes.h"

#include "damaskgate/balance/ibalancer.h"
#include "damaskgate/balance/iexchangeobserver.h"
#include "damaskgate/balance/slotmessages.h"

namespace damaskgate::balance {

/** Balancer of one entry host. All functions run on the data thread; tick() handles timeouts. */
class Balancer final : public IBalancer
{
public:
    /** @param seed seed of the random choice between endpoints of equal rank */
    Balancer(const core::IClock &clock, std::uint64_t seed);
    ~Balancer() override;

    /** Applies @p settings; endpoints out of service get no further requests. */
    void applySettings(const settings::SettingsPtr &settings);

    /** Replaces the set of ejected endpoints of @p service; a readmitted endpoint is cold. */
    void setEjected(const core::ServiceName &service,
                    const std::set<core::EndpointName> &endpoints);

    /** Sets the observer of all exchanges; it must outlive this object. */
    void setObserver(IExchangeObserver *observer);

    /** Refuses queued requests past their deadline and serves the others; called every 10 ms. */
    void tick();

    std::uint64_t acquire(const WorkRequest &request, Done done) override;
    void cancel(std::uint64_t requestId) override;
    void release(std::uint64_t grantId, const ExchangeReport &report) override;

    /** Handles an idle connection that @p endpoint has closed. */
    void onConnectionLost(const core::ServiceName &service, const core::EndpointName &endpoint);

    /** @return slot requests to the owners of all services; called every ReportInterval. */
    std::vector<SlotRequest> makeSlotRequests();

    /** Applies the reply of the owner of a service. */
    void onSlotReply(const SlotReply &reply);

    /** @return number of requests queued for @p service. */
    std::size_t queued(const core::ServiceName &service) const;

    /** @return number of requests of this host in flight at @p endpoint. */
    std::uint32_t inFlight(const core::ServiceName &service,
                           const core::EndpointName &endpoint) const;

private:
    struct Pool; //!< queue and endpoints of one service

    struct HeldSlot
    {
        core::ServiceName service;
        core::EndpointName endpoint;
        core::Instant since;
    };

    std::shared_ptr<Pool> findPool(const core::ServiceName &service) const;
    std::uint32_t weight(const core::WorkspaceName &workspace) const;
    std::optional<core::Error> findRefusal(const Pool &pool, const WorkRequest &request) const;
    void refuse(std::uint64_t requestId, core::Reason reason, const char *detail);
    void refuseUnservable(Pool &pool);
    void serve(Pool &pool);
    void updateWarmupState(Pool &pool, const core::EndpointName &endpoint,
                           const ExchangeReport &report);
    void grant(Pool &pool, std::uint64_t requestId, const core::EndpointName &endpoint);

    const core::IClock &clock;
    std::mt19937_64 random;
    IExchangeObserver *observer = nullptr;
    settings::SettingsPtr settings;
    std::map<core::ServiceName, std::shared_ptr<Pool>> pools;
    std::map<std::uint64_t, Done> waiting; //!< callbacks of queued requests, by id
    std::map<std::uint64_t, core::ServiceName> serviceOf; //!< by id of the queued request
    std::map<std::uint64_t, HeldSlot> held; //!< by grant id
    std::uint64_t lastId = 0;
};

} // namespace damaskgate::balance
