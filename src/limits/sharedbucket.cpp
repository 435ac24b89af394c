#include "damaskgate/limits/sharedbucket.h"

#include <algorithm>
#include <chrono>

namespace damaskgate::limits {

namespace {

// Upper limit of the reported wait for a token. It is also the wait reported at rate 0, where no
// token ever becomes available.
constexpr core::Duration MaxWait = std::chrono::seconds(60);

} // namespace

SharedBucket::SharedBucket(BucketLimits bucketLimits, core::Instant now)
    : bucketLimits(bucketLimits), tokens(bucketLimits.burst), refilledAt(now)
{}

void SharedBucket::setLimits(BucketLimits bucketLimits, core::Instant now)
{
    this->refill(now);
    this->tokens =
        std::min(this->tokens + std::max(bucketLimits.burst - this->bucketLimits.burst, 0.0),
                 bucketLimits.burst);
    this->bucketLimits = bucketLimits;
}

void SharedBucket::setReachableFraction(double reachableFraction, core::Instant now)
{
    this->refill(now);
    this->reachableFraction = reachableFraction;
    this->tokens = std::min(this->tokens, this->capacity());
}

bool SharedBucket::tryConsume(core::Instant now)
{
    if (!this->hasToken(now)) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

bool SharedBucket::hasToken(core::Instant now)
{
    this->refill(now);
    return this->tokens >= 1;
}

void SharedBucket::consumeRemote(core::Instant now)
{
    this->refill(now);
    this->tokens -= 1;
}

void SharedBucket::add(double tokens, core::Instant now)
{
    this->refill(now);
    this->tokens = std::min(this->tokens + tokens, this->capacity());
}

core::Duration SharedBucket::timeUntilToken(core::Instant now)
{
    this->refill(now);
    const double rate = this->bucketLimits.ratePerSecond * this->reachableFraction;
    if (this->tokens >= 1) {
        return core::Duration::zero();
    }
    if (rate <= 0) {
        return MaxWait;
    }
    const std::chrono::duration<double> wait((1 - this->tokens) / rate);
    return std::min(std::chrono::duration_cast<core::Duration>(wait), MaxWait);
}

double SharedBucket::capacity() const
{
    return std::max(this->bucketLimits.burst * this->reachableFraction, 1.0);
}

void SharedBucket::refill(core::Instant now)
{
    const std::chrono::duration<double> passed = now - this->refilledAt;
    if (passed.count() <= 0) {
        return;
    }
    const double refilled =
        this->tokens + passed.count() * this->bucketLimits.ratePerSecond * this->reachableFraction;
    this->tokens = std::max(this->tokens, std::min(refilled, this->capacity()));
    this->refilledAt = now;
}

} // namespace damaskgate::limits
