#include "damaskgate/upstreams/endpointratelimit.h"

#include <algorithm>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

// Fraction of the announced rate that is used. The rest covers requests whose gossip is lost.
constexpr double UsedFraction = 0.9;

// Seconds of the used rate that can accumulate.
constexpr double BurstSeconds = 0.5;

// Hosts that may use an endpoint: MinHosts, and HostsPerRate for each request per second. Each can
// send one request before it learns of those of the others.
constexpr double MinHosts = 4;
constexpr double HostsPerRate = 1.5;

// Rate of each host's own bucket, relative to an equal share of the used rate. Above 1, since
// callers spread unevenly over the hosts.
constexpr double OwnShareFactor = 2;

// Largest limit that is told from none, in requests per second. An endpoint may announce any
// number.
constexpr double MaxRate = 1e6;

// An endpoint that wants no requests still gets a few, which show when its limit is lifted.
constexpr double MinRate = 0.2;

} // namespace

EndpointRateLimit::EndpointRateLimit(double requestsPerSecond, core::Instant now)
    : announcedRate(std::min(requestsPerSecond, MaxRate)), fleetBucket(this->fleetLimits(), now)
{
    this->setRank(0, 1, now);
}

double EndpointRateLimit::rate() const
{
    return this->announcedRate;
}

void EndpointRateLimit::setRate(double requestsPerSecond, core::Instant now)
{
    const double rate = std::min(requestsPerSecond, MaxRate);
    if (rate == this->announcedRate) {
        return;
    }
    this->announcedRate = rate;
    this->fleetBucket.setLimits(this->fleetLimits(), now);
    this->setRank(this->rank, this->hostCount, now);
}

void EndpointRateLimit::setRank(std::size_t rank, std::size_t hostCount, core::Instant now)
{
    this->rank = rank;
    this->hostCount = hostCount;
    if (rank >= this->maxHosts()) {
        this->ownBucket.reset();
        return;
    }
    if (this->ownBucket) {
        this->ownBucket->setLimits(this->ownLimits(), now);
        return;
    }
    // Starts empty, since another host may have used this place just before.
    this->ownBucket.emplace(this->ownLimits(), now);
    this->ownBucket->tryConsume(now);
}

bool EndpointRateLimit::hasToken(core::Instant now)
{
    return this->ownBucket && this->ownBucket->hasToken(now) && this->fleetBucket.hasToken(now);
}

void EndpointRateLimit::consume(core::Instant now)
{
    this->fleetBucket.consumeRemote(now);
    if (this->ownBucket) {
        this->ownBucket->consumeRemote(now);
    }
}

void EndpointRateLimit::consumeRemote(core::Instant now)
{
    this->fleetBucket.consumeRemote(now);
}

limits::BucketLimits EndpointRateLimit::fleetLimits() const
{
    const double rate = std::max(this->announcedRate, MinRate) * UsedFraction;
    return { rate, std::max(std::ceil(rate * BurstSeconds), 1.0) };
}

limits::BucketLimits EndpointRateLimit::ownLimits() const
{
    const auto sharing = static_cast<double>(std::min(this->hostCount, this->maxHosts()));
    const double share = this->fleetLimits().ratePerSecond / sharing;
    return { std::min(share * OwnShareFactor, this->fleetLimits().ratePerSecond), 1.0 };
}

std::size_t EndpointRateLimit::maxHosts() const
{
    return static_cast<std::size_t>(MinHosts + this->announcedRate * HostsPerRate);
}

} // namespace damaskgate::upstreams
