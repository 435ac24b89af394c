#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** A start of an endpoint whose registration was removed. */
struct Departure
{
    std::uint32_t nameHash = 0; //!< hash of the endpoint's name
    std::uint32_t startStamp = 0; //!< identifies the start; later starts have greater stamps

    /** @return whether @p stamp is that of the departed start, or of an earlier one. */
    bool covers(std::uint32_t stamp) const;
};

/**
 * Remembers for a while which starts of endpoints were removed from the list, so that a report from
 * before the removal, which the source applied late, is not taken for a new registration.
 */
class DepartureTable
{
public:
    /** Time after a removal in which a late report of the removed start is expected. */
    static constexpr core::Duration Memory = std::chrono::seconds(30);

    void add(const Departure &departure, core::Instant now);

    /** Forgets the departure of the endpoint, as it is known to have returned. */
    void remove(std::uint32_t nameHash);

    /** @return whether the start @p startStamp of the endpoint, or a later one, was removed. */
    bool contains(std::uint32_t nameHash, std::uint32_t startStamp, core::Instant now) const;

    /** @return the departures that are remembered at @p now. */
    std::vector<Departure> recent(core::Instant now) const;

    void forgetOld(core::Instant now);

private:
    struct RemovedStart
    {
        std::uint32_t startStamp = 0;
        core::Instant removedAt;
    };

    std::map<std::uint32_t, RemovedStart> startsByNameHash;
};

/**
 * Decides when an endpoint whose registration was removed and is back is used again. A report from
 * before the removal is not renewed, so the source removes it again after the lapse time. An
 * endpoint that lives on renews its registration, visibly or by keeping it from lapsing.
 */
class ReturnConfirmation
{
public:
    /** Further reports that confirm the return: as many as an endpoint makes in the lapse time. */
    static constexpr int RenewalsNeeded = 3;

    /** @param lapseTime time without a report after which the source removes a registration */
    ReturnConfirmation(core::Duration lapseTime, core::Instant returnedAt);

    /** Records a further report of the start that has returned. */
    void onReport(core::Instant now);

    bool isConfirmed(core::Instant now) const;

private:
    core::Duration lapseTime;
    core::Instant lastReportAt;
    int renewals = 0;
};

} // namespace damaskgate::upstreams
