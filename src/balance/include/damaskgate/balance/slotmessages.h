#pragma once

#include <cstdint>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::balance {

/** How much load an endpoint bears, as far as is known. */
enum class WarmupState : std::uint8_t {
    Unknown, //!< this host has not been told since it started or since the endpoint appeared
    Cold, //!< started a short time ago; takes only granted requests
    Warm, //!< takes all its slots
    Doubtful, //!< was warm; a broken connection hints at a restart
};

/** What an entry host tells the owner of a service about one endpoint. */
struct EndpointUse
{
    core::EndpointName endpoint;
    WarmupState warmupState = WarmupState::Unknown;
    core::Duration servedFor {}; //!< time that a cold endpoint has served, as last told
    std::uint64_t incarnation = 0; //!< of the endpoint, from its answers; zero when not known
    std::uint64_t appliedLeaseId = 0; //!< of the owner whose grant is in force
    std::uint64_t appliedSequence = 0; //!< request that the grant in force answered
    std::uint32_t quota = 0; //!< requests that may be in flight under the grant in force
    std::uint32_t inFlight = 0;
    std::uint32_t wanted = 0; //!< requests that this host would have in flight if it could
};

/** From an entry host to the owner of a service, every ReportInterval. */
struct SlotRequest
{
    core::ServiceName service;
    std::uint64_t sequence = 0; //!< rises with each request of one process
    std::vector<EndpointUse> endpoints;
};

struct EndpointQuota
{
    core::EndpointName endpoint;
    WarmupState warmupState = WarmupState::Cold; //!< Cold, Warm, or Unknown: as known before
    core::Duration servedFor {};
    std::uint32_t quota = 0;
};

/** Answer of the owner; quotas expire GrantTime after the request was sent. */
struct SlotReply
{
    core::ServiceName service;
    std::uint64_t leaseId = 0; //!< tells the holdings of the lease apart; not ordered
    std::uint64_t sequence = 0; //!< of the request
    std::vector<EndpointQuota> endpoints;
};

constexpr std::chrono::milliseconds ReportInterval { 100 };
constexpr std::chrono::milliseconds GrantTime { 500 };
constexpr std::chrono::milliseconds GrantDriftMargin { 10 }; //!< of clocks, over one GrantTime

} // namespace damaskgate::balance
