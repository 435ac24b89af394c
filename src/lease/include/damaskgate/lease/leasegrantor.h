#pragma once

#include <map>

#include "damaskgate/lease/leaseguards.h"
#include "damaskgate/lease/leasetypes.h"

namespace damaskgate::lease {

/** Promises each partition to one holder at a time. Promises are kept in memory only. */
class LeaseGrantor
{
public:
    /**
     * @param startedAt when this process started. The grantor denies every request for one promise
     *                  time from then on, since it does not know the promises of an earlier
     * process.
     */
    LeaseGrantor(core::Instant startedAt, const LeasePolicy &policy, const LeaseGuards &guards);

    /** Sets the current roster. Requests under another roster of a lower revision are denied. */
    void applyRoster(const RosterId &newRoster);

    /**
     * Grants or denies a request. A grant is a promise that lasts for one promise time from @p now.
     *
     * @param from process that sent the request
     * @param fromRoster roster of that process
     */
    LeaseReply onRequest(const HolderId &from, const RosterId &fromRoster,
                         const LeaseRequest &request, core::Instant now);

    /** Ends the promise to @p from unless a later request from it has already arrived. */
    void onRelease(const HolderId &from, const LeaseRelease &release, core::Instant now);

private:
    struct Promise
    {
        LeaseId leaseId;
        LeaseId predecessor; //!< lease that the grantor promised before this one
        std::uint64_t lastSequence = 0;
        core::Instant until;
    };

    bool isStarting(core::Instant now) const;
    bool isStale(const RosterId &other) const;
    core::Duration promiseTime() const;
    static void grant(Promise &promise, const LeaseId &leaseId);

    LeasePolicy policy;
    LeaseGuards guards;
    core::Instant startedAt;
    RosterId roster;
    std::map<PartitionId, Promise> promises;
};

} // namespace damaskgate::lease
