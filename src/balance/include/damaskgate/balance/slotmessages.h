#pragma once

#include <cstdint>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::balance {

/** Warm-up state of an endpoint, as known to a host or to the owner of its service. */
enum class WarmupState : std::uint8_t {
    Unknown, //!< no information since the host started or the endpoint was added
    Cold, //!< not warmed up since its start or readmission; gets only granted requests
    Warm, //!< warmed up; all its slots may be used
    Doubtful, //!< was warm; may have restarted, because a connection was lost
};

/** Use of one endpoint that an entry host reports to the owner of the service. */
struct EndpointUse
{
    core::EndpointName endpoint;
    WarmupState warmupState = WarmupState::Unknown;
    core::Duration servedFor {}; //!< time that a cold endpoint has served, from the latest reply
    std::uint64_t incarnation = 0; //!< endpoint incarnation from its responses; zero: not known
    std::uint64_t appliedLeaseId = 0; //!< lease id of the owner whose grant is in force
    /** Sequence number of the request that led to the grant in force. */
    std::uint64_t appliedSequence = 0;
    std::uint32_t quota = 0; //!< requests allowed in flight by the grant in force
    std::uint32_t inFlight = 0;
    std::uint32_t wanted = 0; //!< requests that this host would have in flight without a limit
};

/** Message that an entry host sends to the owner of a service every ReportInterval. */
struct SlotRequest
{
    core::ServiceName service;
    std::uint64_t sequence = 0; //!< increases with each request of one process
    std::vector<EndpointUse> endpoints;
};

/** Number of requests that a host may have in flight at one endpoint. */
struct EndpointQuota
{
    core::EndpointName endpoint;
    /** Cold or Warm; if Unknown, the host keeps the state that it has recorded. */
    WarmupState warmupState = WarmupState::Cold;
    core::Duration servedFor {};
    std::uint32_t quota = 0;
};

/** Reply of the owner; its quotas expire GrantTime after the request was sent. */
struct SlotReply
{
    core::ServiceName service;
    std::uint64_t leaseId = 0; //!< differs for each acquisition of the owner's lease; not ordered
    std::uint64_t sequence = 0; //!< sequence number of the request
    std::vector<EndpointQuota> endpoints;
};

constexpr std::chrono::milliseconds ReportInterval { 100 };
constexpr std::chrono::milliseconds GrantTime { 500 };
/** Allowance for the clock drift between two hosts during one GrantTime. */
constexpr std::chrono::milliseconds GrantDriftMargin { 10 };

} // namespace damaskgate::balance
