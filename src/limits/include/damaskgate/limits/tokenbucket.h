#pragma once

#include <deque>

#include "damaskgate/core/time.h"

#include "damaskgate/limits/limiterpolicy.h"

namespace damaskgate::limits {

/**
 * A token bucket whose tokens may be used by other hosts a little later.
 *
 * In every window t the tokens used here and elsewhere are at most rate * t + burst: a token that
 * is lent keeps its room in the bucket until it can no longer be used.
 */
class TokenBucket
{
public:
    /**
     * @param ratePerSecond tokens that accrue in each second
     * @param burst most tokens in the bucket, lent ones included
     * @param start since when tokens accrue; the bucket is empty then
     */
    TokenBucket(double ratePerSecond, double burst, core::Instant start,
                const LimiterGuards &guards = {});

    /** Changes rate and burst from @p now on; surplus tokens are dropped. */
    void configure(double newRatePerSecond, double newBurst, core::Instant now);

    /** @return whether a token was taken for use at @p now. */
    bool consume(core::Instant now);

    /** @return whether a token was taken for use elsewhere, until @p usableUntil at the latest. */
    bool reserve(core::Instant now, core::Instant usableUntil);

    /** @return how long until there are @p tokens, if none is taken meanwhile. */
    core::Duration timeUntilTokens(double tokens, core::Instant now);

    /** Adds tokens that the bucket before this one had left when it ended. */
    void acceptHandover(double tokens, core::Instant now);

    /** Empties the bucket. @return the tokens that were left */
    double drain(core::Instant now);

    /** @return until when lent tokens may be used. */
    core::Instant reservedUntil() const;

    /** @return whether the bucket is full and no token is in use. */
    bool isIdle(core::Instant now);

private:
    void refill(core::Instant now);
    void accrueUntil(core::Instant time);

    LimiterGuards guards;
    double ratePerSecond;
    double burst;
    double level;
    double ceiling; //!< level of a bucket that had started full; a handover never passes it
    core::Instant updatedAt;
    std::deque<core::Instant> reservations; //!< until when each lent token may be used, in order
};

} // namespace damaskgate::limits
