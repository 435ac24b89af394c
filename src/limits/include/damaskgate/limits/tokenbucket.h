#pragma once

#include <deque>

#include "damaskgate/core/time.h"

#include "damaskgate/limits/limiterpolicy.h"

namespace damaskgate::limits {

/**
 * A token bucket that also reserves tokens for other hosts, which use them a little later.
 *
 * In every window t the tokens used on all hosts are at most rate * t + burst: a reserved token
 * occupies its place in the bucket until it can no longer be used.
 */
class TokenBucket
{
public:
    /**
     * @param ratePerSecond tokens that accrue per second
     * @param burst largest number of tokens in the bucket, reserved ones included
     * @param start time at which the bucket is empty and tokens start to accrue
     */
    TokenBucket(double ratePerSecond, double burst, core::Instant start,
                const LimiterGuards &guards = {});

    /** Changes rate and burst from @p now on; surplus tokens are dropped. */
    void configure(double newRatePerSecond, double newBurst, core::Instant now);

    /** Consumes one token at @p now. @return false if none is available */
    bool consume(core::Instant now);

    /**
     * Reserves one token that another host may use until @p usableUntil.
     *
     * @return false if none is available
     */
    bool reserve(core::Instant now, core::Instant usableUntil);

    /** @return the time until @p tokens are available if none is consumed meanwhile. */
    core::Duration timeUntilTokens(double tokens, core::Instant now);

    /** Adds the tokens that were left in the previous holder's bucket. */
    void acceptHandover(double tokens, core::Instant now);

    /** Empties the bucket. @return the number of tokens removed */
    double drain(core::Instant now);

    /** @return the time at which the last reservation ends; Instant::min() if there is none. */
    core::Instant reservedUntil() const;

    /** @return whether the bucket is full and no token is reserved. */
    bool isIdle(core::Instant now);

private:
    void refill(core::Instant now);
    void accrueUntil(core::Instant time);

    LimiterGuards guards;
    double ratePerSecond;
    double burst;
    double level;
    double ceiling; //!< level if the bucket had started full; limits what a handover may add
    core::Instant updatedAt;
    std::deque<core::Instant> reservations; //!< end of each reservation, in ascending order
};

} // namespace damaskgate::limits
