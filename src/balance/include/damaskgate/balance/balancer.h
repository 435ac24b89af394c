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

/** Balancer of one entry host. Everything runs on the data thread; tick() drives the time. */
class Balancer final : public IBalancer
{
public:
    /** @param seed of the random choice between equal endpoints */
    Balancer(const core::IClock &clock, std::uint64_t seed);
    ~Balancer() override;

    /** Puts @p settings into force; endpoints out of service get no more requests. */
    void applySettings(const settings::SettingsPtr &settings);

    /** Replaces the ejected endpoints of @p service; one that is no longer ejected is cold. */
    void setEjected(const core::ServiceName &service,
                    const std::set<core::EndpointName> &endpoints);

    /** Tells @p observer of each exchange; it must outlive this object. */
    void setObserver(IExchangeObserver *observer);

    /** Refuses requests whose deadline has passed and serves those that wait; every 10 ms. */
    void tick();

    std::uint64_t acquire(const WorkRequest &request, Done done) override;
    void cancel(std::uint64_t requestId) override;
    void release(std::uint64_t grantId, const ExchangeReport &report) override;

    /** An idle connection to @p endpoint was closed by its end. */
    void onConnectionLost(const core::ServiceName &service, const core::EndpointName &endpoint);

    /** @return requests to the owners of all services with endpoints; every ReportInterval. */
    std::vector<SlotRequest> makeSlotRequests();

    /** Applies the answer of the owner of a service. */
    void onSlotReply(const SlotReply &answer);

    /** @return requests that wait in front of @p service. */
    std::size_t queued(const core::ServiceName &service) const;

    /** @return requests of this host in flight at @p endpoint. */
    std::uint32_t inFlight(const core::ServiceName &service,
                           const core::EndpointName &endpoint) const;

private:
    struct Pool; //!< a service with its queue and endpoints

    struct Held
    {
        core::ServiceName service;
        core::EndpointName endpoint;
        core::Instant since;
    };

    std::shared_ptr<Pool> findPool(const core::ServiceName &service) const;
    std::uint32_t weight(const core::WorkspaceName &workspace) const;
    std::optional<core::Error> refusal(const Pool &pool, const WorkRequest &request) const;
    void refuse(std::uint64_t requestId, core::Reason reason, const char *detail);
    void refuseUnservable(Pool &pool);
    void serve(Pool &pool);
    void learnTemperature(Pool &pool, const core::EndpointName &endpoint,
                          const ExchangeReport &report);
    void grant(Pool &pool, std::uint64_t requestId, const core::EndpointName &endpoint);

    const core::IClock &clock;
    std::mt19937_64 random;
    IExchangeObserver *observer = nullptr;
    settings::SettingsPtr settings;
    std::map<core::ServiceName, std::shared_ptr<Pool>> pools;
    std::map<std::uint64_t, Done> waiting; //!< by request
    std::map<std::uint64_t, core::ServiceName> serviceOf; //!< by waiting request
    std::map<std::uint64_t, Held> held; //!< by grant
    std::uint64_t lastId = 0;
};

} // namespace damaskgate::balance
