#include "damaskgate/upstreams/returnedstart.h"

#include <algorithm>
#include <iterator>

namespace damaskgate::upstreams {

// Stamps are the low bits of a time, so they are compared by their distance.
bool Departure::covers(std::uint32_t stamp) const
{
    return static_cast<std::int32_t>(this->startStamp - stamp) >= 0;
}

void DepartureTable::add(const Departure &departure, core::Instant now)
{
    // A late report of an earlier start may lapse after the later start was removed.
    const bool isCovered = this->contains(departure.nameHash, departure.startStamp, now);
    RemovedStart &start = this->startsByNameHash[departure.nameHash];
    start = { isCovered ? start.startStamp : departure.startStamp, now };
}

void DepartureTable::remove(std::uint32_t nameHash)
{
    this->startsByNameHash.erase(nameHash);
}

bool DepartureTable::contains(std::uint32_t nameHash, std::uint32_t startStamp,
                              core::Instant now) const
{
    const auto found = this->startsByNameHash.find(nameHash);
    return found != this->startsByNameHash.end() && now - found->second.removedAt <= Memory
        && Departure { nameHash, found->second.startStamp }.covers(startStamp);
}

std::vector<Departure> DepartureTable::recent(core::Instant now) const
{
    std::vector<Departure> departures;
    for (const auto &[nameHash, start] : this->startsByNameHash) {
        if (now - start.removedAt <= Memory) {
            departures.push_back({ nameHash, start.startStamp });
        }
    }
    return departures;
}

void DepartureTable::forgetOld(core::Instant now)
{
    std::erase_if(this->startsByNameHash,
                  [now](const auto &item) { return now - item.second.removedAt > Memory; });
}

ReturnConfirmation::ReturnConfirmation(core::Duration lapseTime, core::Instant returnedAt)
    : lapseTime(lapseTime), lastReportAt(returnedAt)
{}

void ReturnConfirmation::onReport(core::Instant now)
{
    this->lastReportAt = now;
    ++this->renewals;
}

bool ReturnConfirmation::isConfirmed(core::Instant now) const
{
    return this->renewals >= RenewalsNeeded || now - this->lastReportAt >= this->lapseTime;
}

} // namespace damaskgate::upstreams
