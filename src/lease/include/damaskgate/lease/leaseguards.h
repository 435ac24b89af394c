#pragma once

namespace damaskgate::lease {

/**
 * Safety rules that keep a partition from having two holders. All of them are enabled in
 * production; tests disable one at a time to check that the violation is detected.
 */
struct LeaseGuards
{
    //! A lease runs from the time its request was sent, not from the arrival of the replies.
    bool countsFromSend = true;
    //! Expiry is checked at each use of a lease and not only at the next tick.
    bool checksAtUse = true;
    //! A grantor grants nothing for one promise time after its start.
    bool waitsAfterStart = true;
    //! A grantor's promise lasts longer than the lease based on it, by the largest clock drift
    //! between two hosts.
    bool allowsForDrift = true;
    //! Replies to an earlier round or an earlier incarnation are not counted.
    bool ignoresOldReplies = true;
    //! During a roster change the majorities of the old and the new grantor set are required.
    bool needsBothRosters = true;
    //! A release that arrives after a later request of its sender is ignored.
    bool ordersReleases = true;
};

} // namespace damaskgate::lease
