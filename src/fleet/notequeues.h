#pragma once

#include <span>
#include <vector>

#include "damaskgate/fleet/fleettypes.h"

namespace damaskgate::fleet {

/** Notes that go to the same hosts with the same instruction. */
struct NoteParcel
{
    std::vector<core::HostName> hosts;
    Spread spread = Spread::Done;
    std::vector<Note> notes;
};

/** The hosts that notes can go to from here. */
struct NoteRoutes
{
    core::HostName hub; //!< of this failure domain
    bool isHub = false; //!< whether this host is the hub
    std::vector<core::HostName> neighbours; //!< all hosts of this failure domain
    std::vector<core::HostName> relays; //!< one host of each other failure domain
};

/**
 * Notes that wait to be sent on, by how far they still have to go. Only hubs send across failure
 * domains, so that many notes share a message there. Pure.
 */
class NoteQueues
{
public:
    /** Queues a note of this host, for all hosts. */
    void addOwn(const Note &note);

    /** Queues notes of another host. @return whether any has to go on */
    bool addReceived(std::span<const Note> notes, Spread spread);

    /** @return whether any of it goes beyond the hub from here. @param isHub of this host */
    bool isSpreading(bool isHub) const;

    /** @return all that waits, by where it goes; nothing waits afterwards. */
    std::vector<NoteParcel> take(const NoteRoutes &routes);

private:
    std::vector<Note> forFleet; //!< for this failure domain and the others
    std::vector<Note> forDomain; //!< from another failure domain
    std::vector<Note> forNeighbours;
    std::vector<Note> forRelays;
};

} // namespace damaskgate::fleet
