#pragma once

#include <chrono>

#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Times of the rate limiter; equal on every host. */
struct LimiterPolicy
{
    core::Duration maxUseDelay = std::chrono::milliseconds(50); //!< validity of a taken token
    core::Duration minUseDelay = std::chrono::milliseconds(10);
    core::Duration maxWait = std::chrono::milliseconds(100); //!< for the next token
    core::Duration retryDelay = std::chrono::milliseconds(20); //!< while there is no holder
    core::Duration maxAdmissionTime = std::chrono::milliseconds(300); //!< to find a holder
    core::Duration handoverRetention = std::chrono::seconds(10);
    double driftBound = 0.001; //!< as in lease::LeasePolicy
};

/** Rules that keep the bound; tests take one out to see it missed. */
struct LimiterGuards
{
    bool startsEmpty = true;
    bool debitsBeforeTelling = true;
    bool voidsLateReplies = true;
    bool reservesTokensInUse = true;
    bool endsUseWithLease = true;
    bool checksPredecessor = true;
    bool acceptsHandoverOnce = true;
    bool waitsBeforeRelease = true;
    bool checksIncarnation = true;
    bool allowsForDrift = true;
};

} // namespace damaskgate::limits
