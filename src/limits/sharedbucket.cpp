#include "damaskgate/limits/sharedbucket.h"

#include <algorithm>
#include <chrono>

namespace damaskgate::limits {

namespace {

constexpr core::Duration LongestWait = std::chrono::seconds(60); // of a bucket without refill

} // namespace

SharedBucket::SharedBucket(BucketSize size, core::Instant now)
    : size(size), tokens(size.burst), refilledAt(now)
{}

void SharedBucket::resize(BucketSize size, core::Instant now)
{
    this->refill(now);
    this->tokens =
        std::min(this->tokens + std::max(size.burst - this->size.burst, 0.0), size.burst);
    this->size = size;
}

void SharedBucket::setShare(double share, core::Instant now)
{
    this->refill(now);
    this->share = share;
    this->tokens = std::min(this->tokens, this->capacity());
}

bool SharedBucket::tryTake(core::Instant now)
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

void SharedBucket::takeRemote(core::Instant now)
{
    this->refill(now);
    this->tokens -= 1;
}

void SharedBucket::add(double tokens, core::Instant now)
{
    this->refill(now);
    this->tokens = std::min(this->tokens + tokens, this->capacity());
}

core::Duration SharedBucket::untilToken(core::Instant now)
{
    this->refill(now);
    const double rate = this->size.ratePerSecond * this->share;
    if (this->tokens >= 1) {
        return core::Duration::zero();
    }
    if (rate <= 0) {
        return LongestWait;
    }
    const std::chrono::duration<double> wait((1 - this->tokens) / rate);
    return std::min(std::chrono::duration_cast<core::Duration>(wait), LongestWait);
}

double SharedBucket::capacity() const
{
    return std::max(this->size.burst * this->share, 1.0);
}

void SharedBucket::refill(core::Instant now)
{
    const std::chrono::duration<double> passed = now - this->refilledAt;
    if (passed.count() <= 0) {
        return;
    }
    const double refilled = this->tokens + passed.count() * this->size.ratePerSecond * this->share;
    this->tokens = std::max(this->tokens, std::min(refilled, this->capacity()));
    this->refilledAt = now;
}

} // namespace damaskgate::limits
