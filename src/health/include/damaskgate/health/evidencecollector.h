#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "damaskgate/balance/iexchangeobserver.h"

#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

/**
 * Counts the outcomes and latencies of this host's exchanges with each endpoint. Used on the data
 * thread only.
 */
class EvidenceCollector final : public balance::IExchangeObserver
{
public:
    void onStarted(const balance::SlotGrant &grant, bool isWarm, core::Instant now) override;
    void onEnded(std::uint64_t grantId, const balance::ExchangeReport &report,
                 core::Instant now) override;

    /** Sets the latency above which an exchange with an endpoint of @p service counts as slow. */
    void setSlowLimit(const core::ServiceName &service, core::Duration limit);

    /**
     * Returns and resets the counts of @p service.
     *
     * @return the counts since the previous call, with a sequence of 0; the sender assigns one
     */
    EvidenceReport collectReport(const core::ServiceName &service, core::Instant now);

private:
    struct Exchange
    {
        core::ServiceName service;
        core::EndpointName endpoint;
        core::Instant start;
        /** End of the part of the time in flight that is already counted in a report. */
        core::Instant countedUntil;
        bool isWarm = false;
        bool isCountedSlow = false;
    };

    struct Counts
    {
        core::Duration slowLimit = DefaultSlowLimit;
        std::map<core::EndpointName, EndpointEvidence> endpoints;
        std::map<std::uint8_t, std::uint32_t> latencies;
    };

    void countOutcome(EndpointEvidence &evidence, balance::Outcome outcome) const;
    void countLatency(Counts &counts, EndpointEvidence &evidence,
                      const balance::ExchangeReport &report) const;
    void countInFlight(const core::ServiceName &service, core::Instant now);

    std::map<std::uint64_t, Exchange> exchanges; //!< by grant id
    std::map<core::ServiceName, Counts> services;
};

} // namespace damaskgate::health
