#include "notequeues.h"

#include <iterator>
#include <utility>

namespace damaskgate::fleet {

namespace {

void append(std::vector<Note> &queue, std::span<const Note> notes)
{
    queue.insert(queue.end(), notes.begin(), notes.end());
}

} // namespace

void NoteQueues::addOwn(const Note &note)
{
    this->forFleet.push_back(note);
}

bool NoteQueues::addReceived(std::span<const Note> notes, Spread spread)
{
    if (notes.empty()) {
        return false;
    }
    switch (spread) {
    case Spread::Done:
        return false;
    case Spread::Neighbours:
        append(this->forNeighbours, notes);
        return true;
    case Spread::Domain:
        append(this->forDomain, notes);
        return true;
    case Spread::Fleet:
        append(this->forNeighbours, notes);
        append(this->forRelays, notes);
        return true;
    }
    return false;
}

bool NoteQueues::isSpreading(bool isHub) const
{
    return isHub || !this->forNeighbours.empty() || !this->forRelays.empty();
}

std::vector<NoteParcel> NoteQueues::take(const NoteRoutes &routes)
{
    if (routes.isHub) {
        append(this->forNeighbours, this->forFleet);
        append(this->forRelays, std::exchange(this->forFleet, {}));
        append(this->forNeighbours, std::exchange(this->forDomain, {}));
    }
    std::vector<NoteParcel> parcels;
    const auto add = [&parcels](const std::vector<core::HostName> &hosts, Spread spread,
                                std::vector<Note> &queue) {
        std::vector<Note> notes = std::exchange(queue, {});
        if (!notes.empty() && !hosts.empty()) {
            parcels.push_back({ hosts, spread, std::move(notes) });
        }
    };
    add({ routes.hub }, Spread::Fleet, this->forFleet);
    add({ routes.hub }, Spread::Neighbours, this->forDomain);
    add(routes.relays, Spread::Domain, this->forRelays);
    add(routes.neighbours, Spread::Done, this->forNeighbours);
    return parcels;
}

} // namespace damaskgate::fleet
