#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/membership/imemberview.h"
#include "damaskgate/membership/membertypes.h"

namespace damaskgate::membership {

/** Timing and limits of the failure detector. */
struct MemberOptions
{
    /** Time between the starts of two probes. */
    core::Duration probePeriod = std::chrono::milliseconds(500);
    /** Time without a reply after which the indirect probers are requested to probe the target. */
    core::Duration replyTimeout = std::chrono::milliseconds(150);
    /** Time after which a suspected host that has not refuted the suspicion counts as dead. */
    core::Duration suspicionTimeout = std::chrono::milliseconds(1500);
    /** Number of indirect probers that are requested before a host is suspected. */
    std::uint32_t indirectProbers = 2;
    std::uint32_t updatesPerMessage = 6;
    /** Number of latest probes from which contactSince() determines contact with the fleet. */
    std::uint32_t contactWindow = 20;
    /**
     * Number of latest probes that are checked before a host is suspected. If most of them failed,
     * the links of this host are the likely cause and no host is suspected.
     */
    std::uint32_t ownLinkWindow = 6;
    /** Number of successful probes that contactSince() requires, at most one per other host. */
    std::uint32_t contactReplies = 3;
};

/**
 * Failure detector and distribution of member updates, after SWIM (Das, Gupta, Motivala, 2002). In
 * each period one host is probed, directly and then through indirect probers, and updates are
 * carried by the probes and their replies, so that the cost per host does not depend on the size of
 * the fleet. The table uses neither clock, socket nor thread.
 */
class MemberTable final : public IMemberView
{
public:
    /**
     * @param self name of this host
     * @param incarnation incarnation of this process; must be higher than those of all earlier
     *        processes of this host
     * @param seed seed of the random order of probes
     */
    MemberTable(core::HostName self, std::uint64_t incarnation, std::uint64_t seed,
                MemberOptions options = {});

    /** Replaces the hosts of the fleet; a new host counts as live until a probe of it fails. */
    void applyRoster(std::span<const core::HostName> hosts);

    /** Sets the settings revision that this host reports to others. */
    void setRevision(const settings::Revision &revision);

    /**
     * Starts the next probe and evaluates timeouts when they are due at @p now. Must be called
     * several times in each probe period.
     *
     * @return messages to be sent
     */
    std::vector<OutgoingMessage> tick(core::Instant now);

    /** Handles a message from another host. @return messages to be sent */
    std::vector<OutgoingMessage> receive(const core::HostName &from, std::uint64_t fromIncarnation,
                                         const MemberMessage &message, core::Instant now);

    /**
     * Sets the state of this host to Leaving.
     *
     * @return messages that announce this state to some hosts at once
     */
    std::vector<OutgoingMessage> announceLeaving();

    MemberState stateOf(const core::HostName &host) const override;
    std::vector<core::HostName> liveHosts() const override;

    /**
     * @return the highest revision that another host reported, and a host that has it; nothing if
     *         that revision is not newer than the revision of this host
     */
    std::optional<std::pair<core::HostName, settings::Revision>> newerRevision() const;

    /**
     * Determines since when this host has contact with most of the fleet.
     *
     * @return when the oldest of the required latest successful probes was sent, see
     *         MemberOptions::contactReplies; nothing while fewer were successful or most of the
     *         recent probes failed
     */
    std::optional<core::Instant> contactSince() const;

    /** @return the number of changes of the roster and of the states of hosts so far. */
    std::uint64_t changeCount() const;

private:
    struct Member
    {
        MemberUpdate latestUpdate;
        std::optional<core::Instant> suspectSince;
        std::uint32_t sendsLeft = 0; //!< number of further messages that carry latestUpdate
        /** Whether this host has sent the member its updates of the hosts that are not alive. */
        bool hasInitialUpdates = false;
    };

    struct PendingProbe
    {
        core::HostName target;
        std::uint64_t sequence = 0;
        core::Instant sentAt;
        core::Instant replyDue;
        core::Instant failsAt;
        bool isIndirect = false;
    };

    struct RelayedProbe
    {
        core::HostName requester;
        std::uint64_t requesterSequence = 0;
        core::Instant expiry;
    };

    std::vector<OutgoingMessage> onProbe(const core::HostName &from, const Probe &probe);
    std::vector<OutgoingMessage> onReply(const core::HostName &from, const ProbeReply &reply);
    std::vector<OutgoingMessage> onIndirectProbe(const core::HostName &from,
                                                 const IndirectProbe &request, core::Instant now);
    void onContact(const core::HostName &host, std::uint64_t incarnation);
    void onRevisionReported(const core::HostName &host, const settings::Revision &revision);
    void startProbe(core::Instant now, std::vector<OutgoingMessage> &out);
    void checkPendingProbe(core::Instant now, std::vector<OutgoingMessage> &out);
    void expireSuspicions(core::Instant now);
    void suspect(const core::HostName &host);
    void recordContact(bool isSuccessful, core::Instant sentAt);
    double contactFraction(std::size_t probes) const;
    void applyUpdate(const MemberUpdate &update);
    void refute(const MemberUpdate &update);
    void adopt(Member &member, const MemberUpdate &update);
    std::optional<core::HostName> nextTarget();
    std::vector<core::HostName> pickIndirectProbers(const core::HostName &target);
    std::vector<MemberUpdate> takeUpdates();
    std::vector<MemberUpdate> initialUpdates(const core::HostName &newMember);
    std::uint32_t sendsPerUpdate() const;

    core::HostName self;
    std::uint64_t incarnation;
    std::mt19937_64 random;
    MemberOptions options;
    std::map<core::HostName, Member> members;
    std::vector<core::HostName> probeOrder;
    std::optional<PendingProbe> pendingProbe;
    std::map<std::uint64_t, RelayedProbe> relayedProbes;
    std::deque<bool> recentContacts;
    std::deque<core::Instant> successfulProbes; //!< send times of the latest successful probes
    settings::Revision ownRevision;
    settings::Revision highestRevision;
    core::HostName highestRevisionHost;
    std::uint64_t nextSequence = 1;
    std::uint64_t changes = 0;
    std::optional<core::Instant> lastTick;
    core::Instant nextProbeAt;
};

} // namespace damaskgate::membership
