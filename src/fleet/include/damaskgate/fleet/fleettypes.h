#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

namespace damaskgate::fleet {

/**
 * A short message that is distributed to all hosts within a fraction of a second. Names are sent as
 * core::nameHash().
 */
struct GossipItem
{
    std::uint8_t kind = 0; //!< meaning of the other fields, defined by the publishing module
    std::uint16_t amount = 0;
    std::uint32_t subject = 0; //!< hash of the name of the item's subject
    std::uint32_t account = 0; //!< hash of a second name; 0 when there is none
    std::uint32_t origin = 0; //!< hash of the name of the host that published the item
    bool isUrgent = false; //!< not held back to share a message with later items

    bool operator==(const GossipItem &) const = default;
};

/** The state of a host, as the host reports it in each of its messages. */
struct HostState
{
    core::DomainName domain; //!< failure domain of the host
    bool isLeaving = false; //!< the host accepts no new callers and will stop soon
    bool isServing = false; //!< the host accepts callers
    /** Share of a processor core that the host may use, in percent; stronger hosts get more work.
     */
    std::uint8_t corePercent = 0;
    std::uint64_t dataRevision = 0; //!< revision of the host's copy of the published items
    /** Time since the host last reached the source itself; empty if it does not read the source. */
    std::optional<std::chrono::milliseconds> sourceAge;
};

/** The state of a host, forwarded by a host of its failure domain that has contact with it. */
struct IndirectHeartbeat
{
    core::HostName name;
    std::chrono::milliseconds age { 0 }; //!< time since the sender's last contact with the host
    bool isLeaving = false; //!< see HostState::isLeaving
    bool isServing = false; //!< see HostState::isServing
    std::uint8_t corePercent = 0; //!< see HostState::corePercent

    bool operator==(const IndirectHeartbeat &) const = default;
};

/** The hosts to which the receiver of a message forwards the message's gossip items. */
enum class GossipScope : std::uint8_t {
    Receiver = 0, //!< the receiver does not forward the items
    LocalHosts = 1, //!< the receiver forwards the items to all hosts of its failure domain
    Domain = 2, //!< the receiver forwards the items to the hub of its failure domain
    Fleet = 3, //!< the receiver forwards to its failure domain and one host of each other domain
};

/** A message between hosts. */
struct Heartbeat
{
    HostState state; //!< state of the sender
    bool isHostListRequested = false; //!< the receiver replies with the hosts that it knows
    GossipScope scope = GossipScope::Receiver; //!< scope of gossipItems
    std::vector<core::HostName> knownHosts; //!< some of the hosts that are live for the sender
    std::vector<GossipItem> gossipItems;
    std::vector<IndirectHeartbeat> indirectHeartbeats; //!< hosts of the sender's failure domain
};

/** The last known state of another host. The name of a host is its IPv4 address. */
struct Member
{
    core::HostName name;
    std::uint64_t incarnation = 0;
    HostState state;
    /**
     * Time of the latest direct or indirect heartbeat; before the first one, the time when the host
     * was added.
     */
    core::Instant lastContactAt;
};

} // namespace damaskgate::fleet
