#pragma once

#include <map>

#include "damaskgate/lease/leaseguards.h"
#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** Promises partitions to one holder at a time. Keeps its promises in memory only. */
class LeaseGrantor
{
public:
    /** @param startedAt when this process started; it promises nothing for one promise time. */
    LeaseGrantor(core::Instant startedAt, const LeasePolicy &policy, const LeaseGuards &guards);

    /** Refuses requests of other rosters with a lower revision from now on. */
    void applyRoster(const RosterId &newRoster);

    /**
     * Grants or denies a request; a grant lasts for one promise time from @p now.
     *
     * @param from process that asks
     * @param fromRoster its roster
     */
    LeaseReply onRequest(const HolderId &from, const RosterId &fromRoster,
                         const LeaseRequest &request, core::Instant now);

    /** Ends the promise to @p from unless it has asked again since. */
    void onRelease(const HolderId &from, const LeaseRelease &release, core::Instant now);

private:
    struct Promise
    {
        LeaseId holding;
        LeaseId predecessor;
        std::uint64_t lastSequence = 0;
        core::Instant until;
    };

    bool isStarting(core::Instant now) const;
    bool isStale(const RosterId &other) const;
    core::Duration promiseTime() const;
    static void grant(Promise &promise, const LeaseId &holding);

    LeasePolicy policy;
    LeaseGuards guards;
    core::Instant startedAt;
    RosterId roster;
    std::map<PartitionId, Promise> promises;
};

} // namespace damaskgate::lease
