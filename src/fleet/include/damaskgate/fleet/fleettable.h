#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** Intervals and timeouts by which a host observes the other hosts. */
struct FleetTiming
{
    /** Time between heartbeats to each live host of the same failure domain. */
    core::Duration heartbeatInterval = std::chrono::milliseconds(1000);
    /** Time since the last contact after which a host counts as lost. */
    core::Duration lostTimeout = std::chrono::milliseconds(4000);
    /** Time since the last contact in which messages of an older incarnation are ignored. */
    core::Duration formerProcessTimeout = std::chrono::milliseconds(300);
    /** Time between heartbeats to a lost host. */
    core::Duration lostRetryInterval = std::chrono::milliseconds(2000);
    /** Time in which the hub must send a message after it got gossip items; then it is replaced. */
    core::Duration hubReplyTimeout = std::chrono::milliseconds(500);
    /** Time for which a replaced hub is not selected again. */
    core::Duration hubReplacementTime = std::chrono::seconds(2);
    /** Time for which a process counts as just started after its first message. */
    core::Duration startTime = std::chrono::milliseconds(1000);
    /** Time since the last contact after which a host is removed from the table. */
    core::Duration expiryTimeout = std::chrono::seconds(120);
};

/**
 * The other hosts that this host knows. Hosts are discovered through seeds and through the host
 * lists of other hosts; there is no published list. The table uses neither clock nor network.
 */
class FleetTable
{
public:
    /**
     * @param self name of this host
     * @param domain failure domain of this host
     * @param seed of the random selection of hosts
     * @param corePercent see HostState::corePercent
     */
    FleetTable(core::HostName self, core::DomainName domain, FleetTiming timing, std::uint64_t seed,
               std::uint8_t corePercent = 0);

    /**
     * Records a message that was received from @p from.
     *
     * @return whether the set of live hosts or the state of one may have changed
     */
    bool onHeartbeat(const core::HostName &from, std::uint64_t incarnation, const HostState &state,
                     core::Instant now);

    /**
     * Records heartbeats of hosts of @p domain that a host of this domain has forwarded. Hosts
     * forward only heartbeats of their own failure domain, so that the number of messages across
     * domains grows linearly with the number of hosts.
     *
     * @return whether the set of live hosts or the state of one may have changed
     */
    bool onIndirectHeartbeats(const core::DomainName &domain,
                              std::span<const IndirectHeartbeat> indirectHeartbeats,
                              core::Instant now);

    /** @return an indirect heartbeat for each live host of this failure domain. */
    std::vector<IndirectHeartbeat> indirectHeartbeats(core::Instant now) const;

    /**
     * @return the hosts of other failure domains to which this host sends its indirect heartbeats
     *         in @p round. If the local hosts agree on the live hosts, each host of another domain
     *         is a target of at least one of them in each round. For each other domain, a host has
     *         at most as many targets as that domain has hosts for each local host, rounded up.
     */
    std::vector<core::HostName> indirectHeartbeatTargets(std::uint64_t round,
                                                         core::Instant now) const;

    /** Adds the hosts @p names that are not in the table yet. @return whether any was added */
    bool addHosts(std::span<const core::HostName> names, core::Instant now);

    /** Records that a message is sent to @p to at @p now. */
    void onSent(const core::HostName &to, core::Instant now);

    /** @return the live local hosts due for a heartbeat and the lost hosts due for a retry. */
    std::vector<core::HostName> dueHosts(core::Instant now) const;

    /**
     * Removes hosts without contact for longer than FleetTiming::expiryTimeout.
     *
     * @return whether any host was removed
     */
    bool expire(core::Instant now);

    /** @return whether the last contact with @p name is within FleetTiming::lostTimeout. */
    bool isLive(const core::HostName &name, core::Instant now) const;

    /**
     * @return whether the process of @p name has sent its first message to this host within the
     *         last FleetTiming::startTime
     */
    bool hasJustStarted(const core::HostName &name, core::Instant now) const;

    /** @return the live hosts, without this one. */
    std::vector<const Member *> liveMembers(core::Instant now) const;

    /** @return all hosts in the table, live or not. */
    std::vector<core::HostName> names() const;

    /** @return up to @p count live hosts, selected at random. */
    std::vector<core::HostName> sample(std::size_t count, core::Instant now);

    /**
     * @return one live host of each other failure domain, selected at random, which forwards gossip
     *         items to the hub of its domain
     */
    std::vector<core::HostName> relays(core::Instant now);

    /**
     * @return the host that distributes gossip within this failure domain: of the responsive hosts
     *         with the highest HostState::corePercent, the first by name; it may be this host
     */
    core::HostName hub(core::Instant now);

    /**
     * Records that gossip items are sent to the hub @p name at @p now. Any message from the hub
     * counts as its reply; normally it is the one that distributes the items.
     */
    void onSentToHub(const core::HostName &name, core::Instant now);

    /** @return the live hosts of this failure domain, without this one. */
    std::vector<core::HostName> localHosts(core::Instant now) const;

    /**
     * @return the number of live hosts divided by the number of hosts with a contact within the
     * last
     *         @p window, both including this host; above 0 and at most 1
     */
    double reachableFraction(core::Duration window, core::Instant now) const;

    const core::HostName &self() const;

    /** @return the failure domain of this host. */
    const core::DomainName &ownDomain() const;

    /** @return the failure domain of @p name, or nothing when it is not known. */
    std::optional<core::DomainName> domainOf(const core::HostName &name) const;

private:
    struct Entry
    {
        Member member;
        std::optional<core::Instant> firstMessageAt; //!< first message of this incarnation
        bool hasBeenSeen = false; //!< a direct or indirect heartbeat of the host was received
        std::optional<core::Instant> sentAt;
        /** When gossip items were first sent to this hub since its last message. */
        std::optional<core::Instant> hubRequestedAt;
        std::optional<core::Instant> hubReplacedAt;
    };

    bool isHubCandidate(const Entry &entry, core::Instant now) const;
    bool isEntryLive(const Entry &entry, core::Instant now) const;
    std::map<core::DomainName, std::vector<core::HostName>>
    remoteHostsByDomain(core::Instant now) const;

    core::HostName selfName;
    core::DomainName domain;
    FleetTiming timing;
    std::mt19937_64 random;
    std::uint8_t corePercent;
    std::map<core::HostName, Entry> entries;
};

} // namespace damaskgate::fleet
