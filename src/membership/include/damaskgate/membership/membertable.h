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

/** Timing and bounds of the failure detector. */
struct MemberOptions
{
    core::Duration probePeriod = std::chrono::milliseconds(500);
    core::Duration replyTimeout = std::chrono::milliseconds(150);
    core::Duration suspicionTime = std::chrono::milliseconds(1500);
    std::uint32_t indirectProbes = 2; //!< third hosts that are asked before a suspicion
    std::uint32_t updatesPerMessage = 6;
    std::uint32_t contactWindow = 20; //!< probes over which contact with the fleet is judged
    std::uint32_t ownLinkWindow = 6; //!< probes whose failures point at the own links
    std::uint32_t contactAnswers = 3; //!< answered probes that prove contact at a time
};

/**
 * Failure detector and news of a host, in the manner of SWIM (Das, Gupta, Motivala, 2002): each
 * period one host is probed, directly and then through others, and news travels on the probes, so
 * that a host's cost does not depend on the size of the fleet. Pure: no clock, socket or thread.
 */
class MemberTable final : public IMemberView
{
public:
    /**
     * @param self name of this host
     * @param incarnation of this process; higher than that of every earlier process of the host
     * @param seed of the random order of probes
     */
    MemberTable(core::HostName self, std::uint64_t incarnation, std::uint64_t seed,
                MemberOptions options = {});

    /** Replaces the hosts that can be members; new ones count as live until a probe fails. */
    void applyRoster(std::span<const core::HostName> hosts);

    /** Sets the settings revision that this host tells others. */
    void setRevision(const settings::Revision &revision);

    /** Runs what is due at @p now; to be called several times in each probe period. */
    std::vector<OutgoingMessage> tick(core::Instant now);

    /** Handles a message from another host. */
    std::vector<OutgoingMessage> receive(const core::HostName &from, std::uint64_t fromIncarnation,
                                         const MemberMessage &message, core::Instant now);

    /** Tells some hosts at once that this one is leaving. */
    std::vector<OutgoingMessage> announceLeaving();

    MemberState stateOf(const core::HostName &host) const override;
    std::vector<core::HostName> liveHosts() const override;

    /** @return the highest revision heard of and a host that told it, if above the own one. */
    std::optional<std::pair<core::HostName, settings::Revision>> newerRevision() const;

    /**
     * Tells since when this host is known to be in contact with most of the fleet.
     *
     * @return when the oldest of the latest answered probes was sent; nothing while too few were
     *         answered or most of the recent probes failed
     */
    std::optional<core::Instant> contactSince() const;

    /** @return how many times the state of a host has changed; rises with each change. */
    std::uint64_t changeCount() const;

private:
    struct Member
    {
        MemberUpdate news;
        std::optional<core::Instant> suspectSince;
        std::uint32_t sendsLeft = 0; //!< messages that still carry this news
        bool isGreeted = false; //!< has been told of the hosts that are not alive
    };

    struct PendingProbe
    {
        core::HostName target;
        std::uint64_t sequence = 0;
        core::Instant sentAt;
        core::Instant replyDue;
        core::Instant giveUpAt;
        bool isIndirect = false;
    };

    struct RelayedProbe
    {
        core::HostName asker;
        std::uint64_t askerSequence = 0;
        core::Instant expiry;
    };

    std::vector<OutgoingMessage> onProbe(const core::HostName &from, const Probe &probe);
    std::vector<OutgoingMessage> onReply(const core::HostName &from, const ProbeReply &reply);
    std::vector<OutgoingMessage> onIndirectProbe(const core::HostName &from,
                                                 const IndirectProbe &request, core::Instant now);
    void onHeardFrom(const core::HostName &host, std::uint64_t incarnation);
    void onRevisionHeard(const core::HostName &host, const settings::Revision &revision);
    void startProbe(core::Instant now, std::vector<OutgoingMessage> &out);
    void checkPendingProbe(core::Instant now, std::vector<OutgoingMessage> &out);
    void expireSuspicions(core::Instant now);
    void suspect(const core::HostName &host);
    void recordContact(bool isAnswered, core::Instant sentAt);
    double contactFraction(std::size_t probes) const;
    void applyUpdate(const MemberUpdate &update);
    void refute(const MemberUpdate &update);
    void adopt(Member &member, const MemberUpdate &update);
    std::optional<core::HostName> nextTarget();
    std::vector<core::HostName> pickHelpers(const core::HostName &target);
    std::vector<MemberUpdate> takeUpdates();
    std::vector<MemberUpdate> greetingUpdates(const core::HostName &newcomer);
    std::uint32_t sendsForNews() const;

    core::HostName self;
    std::uint64_t incarnation;
    std::mt19937_64 random;
    MemberOptions options;
    std::map<core::HostName, Member> members;
    std::vector<core::HostName> probeOrder;
    std::optional<PendingProbe> pending;
    std::map<std::uint64_t, RelayedProbe> relayed;
    std::deque<bool> recentContacts;
    std::deque<core::Instant> answeredProbes; //!< when the latest answered probes were sent
    settings::Revision ownRevision;
    settings::Revision highestRevision;
    core::HostName highestRevisionHost;
    std::uint64_t nextSequence = 1;
    std::uint64_t changes = 0;
    std::optional<core::Instant> lastTick;
    core::Instant nextProbeAt;
};

} // namespace damaskgate::membership
