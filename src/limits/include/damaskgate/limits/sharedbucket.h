#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Rate and burst of a bucket. */
struct BucketLimits
{
    double ratePerSecond = 0; //!< tokens
    double burst = 0; //!< tokens

    bool operator==(const BucketLimits &) const = default;
};

/**
 * This host's copy of a token bucket that all hosts draw from.
 *
 * Every host counts its own takes at once and those of the others when it hears of them. Takes that
 * were made before the news arrived leave a debt, so that the rate holds over time and the burst is
 * exceeded at most by what is taken while the news travels.
 */
class SharedBucket
{
public:
    SharedBucket(BucketLimits bucketLimits, core::Instant now);

    /** Changes rate and burst; the debt stays. */
    void setLimits(BucketLimits bucketLimits, core::Instant now);

    /**
     * Lets this copy refill with a part of the rate only, for hosts that hear a part of the fleet.
     *
     * @param share of the rate, above 0 and at most 1
     */
    void setReachableFraction(double reachableFraction, core::Instant now);

    /** @return whether a token is there; takes it. */
    bool tryConsume(core::Instant now);

    /** @return whether a token is there. */
    bool hasToken(core::Instant now);

    /** Counts a token that another host has taken. */
    void consumeRemote(core::Instant now);

    /** Adds @p tokens beyond the refill by time. */
    void add(double tokens, core::Instant now);

    /** @return until a token is there at the present rate. */
    core::Duration timeUntilToken(core::Instant now);

private:
    double capacity() const;
    void refill(core::Instant now);

    BucketLimits bucketLimits;
    double reachableFraction = 1;
    double tokens = 0;
    core::Instant refilledAt;
};

} // namespace damaskgate::limits
