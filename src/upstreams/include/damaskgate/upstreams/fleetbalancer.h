#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "damaskgate/balance/ibalancer.h"
#include "damaskgate/core/event.h"
#include "damaskgate/core/time.h"
#include "damaskgate/fleet/igossipchannel.h"
#include "damaskgate/limits/sharedadmission.h"
#include "damaskgate/upstreams/endpointbook.h"
#include "damaskgate/upstreams/fleetretrybudget.h"

namespace damaskgate::upstreams {

/**
 * Chooses an endpoint for each request at once, by what all hosts saw of the endpoints: tells the
 * others of each start and end, and takes in theirs. Used on one thread.
 */
class FleetBalancer final : public balance::IBalancer
{
public:
    struct Dependencies
    {
        const core::IClock &clock;
        core::IEventSink &events;
        fleet::IGossipChannel &notes;
        EndpointBook &book;
        limits::SharedAdmission &admission;
        FleetRetryBudget &retries;
    };

    explicit FleetBalancer(const Dependencies &dependencies);

    std::uint64_t acquire(const balance::WorkRequest &request, Done done) override;
    void cancel(std::uint64_t requestId) override;
    void release(std::uint64_t grantId, const balance::ExchangeReport &report) override;

    /** Notes that this host refused a request to @p service before any endpoint got it. */
    void onRefused(const core::ServiceName &service);

private:
    struct Held
    {
        balance::WorkRequest request;
        Choice choice;
    };

    balance::Outcome judge(const Held &attempt, const balance::ExchangeReport &report) const;
    void report(const Held &attempt, const balance::ExchangeReport &report);
    void onNote(const fleet::GossipItem &note);
    void onRemoteRefusal(std::uint32_t serviceTag);
    void onRemoteStart(const fleet::GossipItem &note, bool isRetry);

    Dependencies dependencies;
    std::map<std::uint64_t, Held> held; //!< by the id of the grant
    std::uint64_t lastGrant = 0;
};

} // namespace damaskgate::upstreams
