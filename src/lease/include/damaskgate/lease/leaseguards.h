#pragma once

namespace damaskgate::lease {

/** Rules that keep a partition from having two holders; tests take one out to see it missed. */
struct LeaseGuards
{
    bool countsFromSend = true;
    bool checksAtUse = true;
    bool waitsAfterStart = true;
    bool allowsForDrift = true;
    bool ignoresOldReplies = true;
    bool needsBothRosters = true;
    bool ordersReleases = true;
};

} // namespace damaskgate::lease
