#pragma once

#include <chrono>

#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Timing of the rate limiter. All hosts must use the same values. */
struct LimiterPolicy
{
    //! Longest time from a TokenRequest to the use of the granted token.
    core::Duration maxUseDelay = std::chrono::milliseconds(50);
    //! Shortest time that a TokenRequest allows for the use of the granted token.
    core::Duration minUseDelay = std::chrono::milliseconds(10);
    //! Longest wait of a local request for the next token.
    core::Duration maxWait = std::chrono::milliseconds(100);
    //! Time between two attempts to reach the holder while no holder is known.
    core::Duration retryDelay = std::chrono::milliseconds(20);
    //! A request without a decision is refused as LimiterUnavailable after this time.
    core::Duration maxAdmissionTime = std::chrono::milliseconds(300);
    //! A handover for a lease that this host does not hold is dropped after this time.
    core::Duration handoverRetention = std::chrono::seconds(10);
    //! Largest relative difference between the clocks of two hosts; as in lease::LeasePolicy.
    double driftBound = 0.001;
};

/**
 * Rules that keep the used tokens of a workspace within rate * t + burst in every window t.
 *
 * Tests switch single rules off to show that the limit is then exceeded.
 */
struct LimiterGuards
{
    bool startsEmpty = true; //!< a bucket is empty when its lease is acquired
    bool debitsBeforeTelling = true; //!< the bucket is debited before the grant is sent
    bool voidsLateReplies = true; //!< a reply after the use time of the token is ignored
    //! a granted token counts towards the burst of the bucket until its use time ends
    bool reservesTokensInUse = true;
    bool endsUseWithLease = true; //!< the use time of a granted token ends before the lease
    bool checksPredecessor = true; //!< only the previous lease may hand over tokens
    bool acceptsHandoverOnce = true; //!< a repeated handover is ignored
    bool waitsBeforeRelease = true; //!< a lease is released after all granted tokens have expired
    bool checksIncarnation = true; //!< a reply to an earlier process of this host is ignored
    bool allowsForDrift = true; //!< tokens accrue at the rate lowered by the clock drift bound
};

} // namespace damaskgate::limits
