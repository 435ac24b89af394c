#pragma once

#include "damaskgate/core/time.h"

namespace damaskgate::limits {

/** Rate and burst of a bucket. */
struct BucketLimits
{
    double ratePerSecond = 0; //!< tokens per second
    double burst = 0; //!< largest number of tokens in the bucket

    bool operator==(const BucketLimits &) const = default;
};

/**
 * This host's copy of a token bucket that all hosts consume from.
 *
 * Every host counts its own tokens at once and those of other hosts when the gossip items arrive.
 * Tokens that several hosts consumed before they learned of each other make the level negative. The
 * rate therefore holds over time, and the burst is exceeded at most by the tokens consumed while
 * gossip items are under way.
 */
class SharedBucket
{
public:
    SharedBucket(BucketLimits bucketLimits, core::Instant now);

    /** Changes rate and burst; a negative level is kept. */
    void setLimits(BucketLimits bucketLimits, core::Instant now);

    /**
     * Reduces rate and burst of this copy to the fraction of the fleet that this host can reach.
     *
     * The parts of a partitioned fleet together then stay within the rate. The burst is at least
     * one token.
     *
     * @param reachableFraction above 0 and at most 1
     */
    void setReachableFraction(double reachableFraction, core::Instant now);

    /** Consumes one token. @return false if none is available */
    bool tryConsume(core::Instant now);

    /** @return whether a token is available. */
    bool hasToken(core::Instant now);

    /** Counts a token that another host has consumed; the level may become negative. */
    void consumeRemote(core::Instant now);

    /** Adds @p tokens in addition to the refill over time, up to the burst. */
    void add(double tokens, core::Instant now);

    /** @return the time until a token is available, at most 60 s. */
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
