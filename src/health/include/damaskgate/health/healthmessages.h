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
    std::uint32_t succeeded = 0; //!< complete responses with a status below 500
    std::uint32_t failed = 0; //!< server errors, timeouts, failed and broken connections
    std::uint32_t fast = 0; //!< first byte within the slow limit
    std::uint32_t slow = 0; //!< shed, or no first byte within the slow limit
    std::uint32_t ended = 0; //!< exchanges that ended, without those that the endpoint shed
    core::Duration busyTime {}; //!< sum of the time that exchanges were in flight
};

/** Number of exchanges of one entry host in one bucket of the latency histogram. */
struct LatencyCount
{
    std::uint8_t bucket = 0; //!< see latencyBucket()
    std::uint32_t count = 0;
};

/** Sent by an entry host to the owner of a service and its stand-by every ReportInterval. */
struct EvidenceReport
{
    core::ServiceName service;
    std::uint64_t sequence = 0; //!< rises with each report of one process
    std::vector<EndpointEvidence> endpoints;
    std::vector<LatencyCount> latencies; //!< over all endpoints of the service
};

/** Reply of the owner to a report; expires EjectionUpdateLifetime after the report was sent. */
struct EjectionUpdate
{
    core::ServiceName service;
    std::uint64_t leaseId = 0; //!< differs for each acquisition of the lease; not ordered
    std::uint64_t sequence = 0; //!< sequence number of the report
    std::uint64_t revision = 0; //!< rises with each update under the same lease id
    std::vector<core::EndpointName> ejected; //!< in the order of ejection, the earliest first
    core::Duration slowLimit {}; //!< latency above which an exchange counts as slow
};

constexpr std::chrono::milliseconds ReportInterval { 250 };
constexpr std::chrono::milliseconds IdleReportInterval { 1000 }; //!< interval without exchanges
constexpr std::chrono::milliseconds EjectionUpdateLifetime { 2000 };
/** Allowance for the drift between two hosts' clocks over one EjectionUpdateLifetime. */
constexpr std::chrono::milliseconds ClockDriftMargin { 20 };
constexpr std::chrono::milliseconds DefaultSlowLimit { 1000 };

} // namespace damaskgate::health
