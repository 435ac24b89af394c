#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::health {

/** Counts of the exchanges of one entry host with one endpoint since its previous report. */
struct EndpointEvidence
{
    core::EndpointName endpoint;
    std::uint32_t answered = 0; //!< whole answers below status 500
    std::uint32_t failed = 0; //!< errors, timeouts, failed and broken connections
    std::uint32_t prompt = 0; //!< first byte within the slow limit
    std::uint32_t slow = 0; //!< shed, or first byte later than the slow limit or still awaited
    std::uint32_t ended = 0; //!< exchanges that the endpoint worked on and that ended
    core::Duration busy {}; //!< sum of the time that exchanges were in flight
};

/** Exchanges of one entry host with one latency, in a logarithmic scale. */
struct LatencyCount
{
    std::uint8_t bucket = 0; //!< see latencyBucket()
    std::uint32_t count = 0;
};

/** From an entry host to the owner of a service and its stand-by, every ReportInterval. */
struct EvidenceReport
{
    core::ServiceName service;
    std::uint64_t sequence = 0; //!< rises with each report of one process
    std::vector<EndpointEvidence> endpoints;
    std::vector<LatencyCount> latencies; //!< over all endpoints of the service
};

/** Answer of the owner; in force until EjectionUpdateLifetime after the report was sent. */
struct EjectionUpdate
{
    core::ServiceName service;
    std::uint64_t holding = 0; //!< tells the holdings of the lease apart; not ordered
    std::uint64_t sequence = 0; //!< of the report
    std::uint64_t revision = 0; //!< rises with each news of one holding
    std::vector<core::EndpointName> ejected; //!< the most certain first
    core::Duration slowLimit {}; //!< latency from which an exchange counts as slow
};

constexpr std::chrono::milliseconds ReportInterval { 250 };
constexpr std::chrono::milliseconds IdleReportInterval { 1000 }; //!< without exchanges
constexpr std::chrono::milliseconds EjectionUpdateLifetime { 2000 };
constexpr std::chrono::milliseconds ClockDriftMargin { 20 }; //!< over one EjectionUpdateLifetime
constexpr std::chrono::milliseconds DefaultSlowLimit { 1000 };

} // namespace damaskgate::health
