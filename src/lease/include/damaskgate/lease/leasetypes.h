#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::lease {

using PartitionId = std::uint32_t;

/** Number of hash buckets that leases are held for; equal on every host. */
constexpr PartitionId PartitionCount = 256;

/** @return the partition that @p key belongs to. */
PartitionId partitionOf(std::string_view key);

/** Times of the lease protocol; equal on every host. */
struct LeasePolicy
{
    core::Duration leaseTime = std::chrono::milliseconds(2000); //!< counted from the request
    core::Duration renewInterval = std::chrono::milliseconds(600);
    core::Duration retryInterval = std::chrono::milliseconds(150); //!< while another host holds
    core::Duration rankDelay = std::chrono::milliseconds(300); //!< for each better-ranked host
    core::Duration takeoverRequestTime =
        std::chrono::seconds(10); //!< how long a demand is remembered
    core::Duration handoverPause = std::chrono::seconds(30); //!< after a handover that failed
    double driftBound = 0.001; //!< largest relative difference between the clocks of two hosts

    /** @return how long a grantor keeps a promise, and a new grantor promises nothing. */
    core::Duration promiseTime() const
    {
        return std::chrono::duration_cast<core::Duration>(this->leaseTime
                                                          * (1.0 + this->driftBound));
    }
};

/** One process at one host. */
struct HolderId
{
    core::HostName host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const HolderId &) const = default;
};

/** A holding of a partition, told apart from every other one. */
struct LeaseId
{
    HolderId holder;
    std::uint32_t epoch = 0; //!< counts the acquisitions of this partition by this process

    auto operator<=>(const LeaseId &) const = default;
};

/** Lease of a partition that this process holds. */
struct HeldLease
{
    std::uint32_t epoch = 0;
    core::Instant acquiredAt;
    core::Instant validUntil;
    std::optional<LeaseId> predecessor; //!< the holding before this one, where it is certain
};

/** Version of the published list of hosts. */
struct RosterId
{
    std::uint64_t hash = 0;
    std::uint64_t revision = 0; //!< of the settings

    auto operator<=>(const RosterId &) const = default;
};

struct LeaseRequest
{
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
};

enum class LeaseOutcome : std::uint16_t {
    Granted, //!< holder names the holding before this one
    HeldByOther, //!< holder names the present holder
    Starting, //!< the grantor has not run for a whole promise time
    StaleRoster, //!< the grantor knows a newer list of hosts
};

struct LeaseReply
{
    PartitionId partition = 0;
    LeaseOutcome outcome = LeaseOutcome::Granted;
    std::uint64_t sequence = 0; //!< of the request
    std::uint64_t incarnation = 0; //!< of the process that asked
    LeaseId holder;
};

struct LeaseRelease
{
    PartitionId partition = 0;
    std::uint64_t sequence = 0;
};

/** Asks the holder to hand over to the sender, which is ranked better. */
struct HandoverRequest
{
    PartitionId partition = 0;
};

/** Tells the sender's choice of successor that the partition is free. */
struct HandoverOffer
{
    PartitionId partition = 0;
};

/** Everything that one host tells another in one datagram. */
struct LeaseBatch
{
    RosterId roster;
    std::vector<LeaseRequest> requests;
    std::vector<LeaseReply> replies;
    std::vector<LeaseRelease> releases;
    std::vector<HandoverRequest> handoverRequests;
    std::vector<HandoverOffer> offers;
};

} // namespace damaskgate::lease
