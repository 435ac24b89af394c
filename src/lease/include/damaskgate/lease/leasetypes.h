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

/** Number of partitions, each with a lease of its own; must be equal on every host. */
constexpr PartitionId PartitionCount = 256;

/** @return the partition that @p key belongs to. */
PartitionId partitionOf(std::string_view key);

/** Timing of the lease protocol; must be equal on every host. */
struct LeasePolicy
{
    //! Duration of a lease, counted from the time at which its holder sent the request.
    core::Duration leaseTime = std::chrono::milliseconds(2000);
    core::Duration renewInterval = std::chrono::milliseconds(600);
    //! Time between attempts to acquire a lease, to which a random delay is added.
    core::Duration retryInterval = std::chrono::milliseconds(150);
    //! Delay of a requested takeover per better-ranked live host.
    core::Duration rankDelay = std::chrono::milliseconds(300);
    //! Time for which a takeover request stays valid.
    core::Duration takeoverRequestTime = std::chrono::seconds(10);
    //! Least time from a release to the next handover, in case the successor did not take over.
    core::Duration handoverPause = std::chrono::seconds(30);
    //! Largest relative difference in clock rate between two hosts.
    double driftBound = 0.001;

    /** @return how long a grantor keeps a promise; a new grantor grants nothing for as long. */
    core::Duration promiseTime() const
    {
        return std::chrono::duration_cast<core::Duration>(this->leaseTime
                                                          * (1.0 + this->driftBound));
    }
};

/** Identifies one process at one host. */
struct HolderId
{
    core::HostName host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const HolderId &) const = default;
};

/** Identifies one acquisition of a partition's lease among all acquisitions of that partition. */
struct LeaseId
{
    HolderId holder;
    std::uint32_t epoch = 0; //!< number of the acquisition of this partition by this process

    auto operator<=>(const LeaseId &) const = default;
};

/** A partition's lease that this process holds. */
struct HeldLease
{
    std::uint32_t epoch = 0;
    core::Instant acquiredAt;
    core::Instant validUntil;
    //! Previous lease; empty if the grantors report different ones.
    std::optional<LeaseId> predecessor;
};

/** Identifies a version of the published list of hosts. */
struct RosterId
{
    std::uint64_t hash = 0;
    std::uint64_t revision = 0; //!< revision of the settings

    auto operator<=>(const RosterId &) const = default;
};

struct LeaseRequest
{
    PartitionId partition = 0;
    std::uint32_t epoch = 0;
    std::uint64_t sequence = 0;
};

enum class LeaseOutcome : std::uint16_t {
    Granted, //!< LeaseReply::lease is the previous lease
    HeldByOther, //!< LeaseReply::lease is the current lease; empty for an outdated request
    Starting, //!< the grantor has run for less than one promise time
    StaleRoster, //!< the grantor has a newer list of hosts
};

struct LeaseReply
{
    PartitionId partition = 0;
    LeaseOutcome outcome = LeaseOutcome::Granted;
    std::uint64_t sequence = 0; //!< sequence number of the request
    std::uint64_t incarnation = 0; //!< incarnation of the requester
    LeaseId lease; //!< previous or current lease, depending on the outcome
};

struct LeaseRelease
{
    PartitionId partition = 0;
    std::uint64_t sequence = 0;
};

/** Requests the holder to hand the partition over to the sender, which is ranked better. */
struct HandoverRequest
{
    PartitionId partition = 0;
};

/** Notifies the successor that the sender has released the partition. */
struct HandoverOffer
{
    PartitionId partition = 0;
};

/** Messages of the lease protocol from one host to another. */
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
