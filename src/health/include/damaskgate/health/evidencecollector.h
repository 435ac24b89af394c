#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "damaskgate/balance/iexchangeobserver.h"

#include "damaskgate/health/healthmessages.h"

namespace damaskgate::health {

/** Counts what the exchanges of this host tell about endpoints; lives on the data thread. */
class EvidenceCollector final : public balance::IExchangeObserver
{
public:
    void onStarted(const balance::SlotGrant &grant, bool isWarm, core::Instant now) override;
    void onEnded(std::uint64_t grantId, const balance::ExchangeReport &report,
                 core::Instant now) override;

    /** Sets the latency of @p service from which an exchange counts as slow. */
    void setSlowLimit(const core::ServiceName &service, core::Duration limit);

    /** @return the counts of @p service since the previous call, without a sequence. */
    EvidenceReport collectReport(const core::ServiceName &service, core::Instant now);

private:
    struct Exchange
    {
        core::ServiceName service;
        core::EndpointName endpoint;
        core::Instant start;
        core::Instant countedUntil; //!< time in flight before this has been reported
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
    void countRunning(const core::ServiceName &service, core::Instant now);

    std::map<std::uint64_t, Exchange> exchanges; //!< by grant
    std::map<core::ServiceName, Counts> services;
};

} // namespace damaskgate::health
