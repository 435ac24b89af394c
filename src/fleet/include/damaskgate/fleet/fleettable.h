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

/** How the hosts of a fleet follow each other. */
struct FleetPace
{
    core::Duration beatNear = std::chrono::milliseconds(1000); //!< within a failure domain
    core::Duration lostAfter = std::chrono::milliseconds(4000); //!< of silence
    core::Duration formerProcess = std::chrono::milliseconds(300); //!< its messages may still come
    core::Duration probeLost = std::chrono::milliseconds(2000); //!< between tries of lost hosts
    core::Duration hubAnswer = std::chrono::milliseconds(500); //!< until a silent hub is replaced
    core::Duration hubRest = std::chrono::seconds(2); //!< before a replaced hub is taken again
    core::Duration forgetAfter = std::chrono::seconds(120); //!< of silence
};

/**
 * The hosts that this one knows, found through seeds and through each other; there is no published
 * list. Pure: knows neither clock nor network.
 */
class FleetTable
{
public:
    /** @param corePercent of a processor core that this host may use */
    FleetTable(core::HostName self, core::DomainName domain, FleetPace pace, std::uint64_t seed,
               std::uint8_t corePercent = 0);

    /** Notes a message of @p from. @return whether the set of live hosts may have changed */
    bool onHeard(const core::HostName &from, std::uint64_t incarnation, const HostState &state,
                 core::Instant now);

    /**
     * Takes in hosts of @p domain that one of them heard from. Hosts tell each other of their own
     * failure domain, so that the messages across domains grow with the number of hosts only.
     *
     * @return whether the set of live hosts may have changed
     */
    bool onVouched(const core::DomainName &domain, std::span<const Vouch> vouches,
                   core::Instant now);

    /** @return the live hosts of this failure domain that this host heard from itself. */
    std::vector<Vouch> vouches(core::Instant now) const;

    /**
     * @return for each other failure domain the host that gets the vouches of this one in @p round;
     *         each host gets those of one host in a round
     */
    std::vector<core::HostName> vouchTargets(std::uint64_t round, core::Instant now) const;

    /** Learns names that another host or the settings tell. @return whether any was new */
    bool onTold(std::span<const core::HostName> names, core::Instant now);

    /** Notes that a message goes to @p to now. */
    void onSent(const core::HostName &to, core::Instant now);

    /** @return near hosts that are due for a message, and lost ones that are tried again. */
    std::vector<core::HostName> dueHosts(core::Instant now) const;

    /** Drops hosts that have been silent for long. @return whether any was dropped */
    bool expire(core::Instant now);

    /** @return whether @p name was heard of within the time allowed. */
    bool isLive(const core::HostName &name, core::Instant now) const;

    /** @return hosts heard of lately, without this one. */
    std::vector<const Member *> liveMembers(core::Instant now) const;

    /** @return every host that was ever told of and is not forgotten. */
    std::vector<core::HostName> names() const;

    /** @return up to @p count live hosts at random. */
    std::vector<core::HostName> sample(std::size_t count, core::Instant now);

    /** @return for each other failure domain one live host at random, to hand notes on. */
    std::vector<core::HostName> relays(core::Instant now);

    /**
     * @return the host that spreads notes within this failure domain: of those that answer, the
     *         first by name among the strongest; it may be this one
     */
    core::HostName hub(core::Instant now);

    /** Notes that notes go to the hub @p name now; it answers by spreading them. */
    void onSentToHub(const core::HostName &name, core::Instant now);

    /** @return the live hosts of this failure domain. */
    std::vector<core::HostName> neighbours(core::Instant now) const;

    /**
     * @return the part of the fleet that this host hears, above 0 and at most 1: live hosts over
     *         those live within the last @p window, both with this one
     */
    double heardShare(core::Duration window, core::Instant now) const;

    const core::HostName &self() const;

    /** @return the failure domain of this host. */
    const core::DomainName &ownDomain() const;

    /** @return the failure domain of @p name; nothing when it is not known. */
    std::optional<core::DomainName> domainOf(const core::HostName &name) const;

private:
    struct Entry
    {
        Member member;
        bool isHeard = false; //!< ever
        std::optional<core::Instant> sentAt;
        std::optional<core::Instant> hubAskedAt; //!< notes were sent to it and nothing came back
        std::optional<core::Instant> hubReplacedAt;
    };

    bool isHubCandidate(const Entry &entry, core::Instant now) const;
    bool isEntryLive(const Entry &entry, core::Instant now) const;
    std::map<core::DomainName, std::vector<core::HostName>> farHosts(core::Instant now) const;

    core::HostName selfName;
    core::DomainName domain;
    FleetPace pace;
    std::mt19937_64 random;
    std::uint8_t corePercent;
    std::map<core::HostName, Entry> entries;
};

} // namespace damaskgate::fleet
