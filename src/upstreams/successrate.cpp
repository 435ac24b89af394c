#include "damaskgate/upstreams/successrate.h"

#include <chrono>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

constexpr double Memory = 2; // seconds after which a request counts for 1/e
constexpr double LeastTotal = 10; // requests that make a share

} // namespace

void SuccessRate::count(bool isServed, core::Instant now)
{
    const double kept = this->decay(now);
    this->total = this->total * kept + 1;
    this->missed = this->missed * kept + (isServed ? 0 : 1);
    this->updatedAt = now;
}

double SuccessRate::failureRate(core::Instant now) const
{
    return this->total * this->decay(now) < LeastTotal ? 0 : this->missed / this->total;
}

double SuccessRate::decay(core::Instant now) const
{
    const std::chrono::duration<double> passed = now - this->updatedAt;
    return std::exp(-passed.count() / Memory);
}

} // namespace damaskgate::upstreams
