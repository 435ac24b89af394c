#include "damaskgate/upstreams/successrate.h"

#include <chrono>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

constexpr double DecaySeconds = 2; // time after which the weight of a request has decayed to 1/e
constexpr double MinRequests = 10; // least total weight of the requests to report a rate

} // namespace

void SuccessRate::count(bool isSuccess, core::Instant now)
{
    const double factor = this->decay(now);
    this->total = this->total * factor + 1;
    this->failed = this->failed * factor + (isSuccess ? 0 : 1);
    this->updatedAt = now;
}

double SuccessRate::failureRate(core::Instant now) const
{
    return this->total * this->decay(now) < MinRequests ? 0 : this->failed / this->total;
}

double SuccessRate::decay(core::Instant now) const
{
    const std::chrono::duration<double> elapsed = now - this->updatedAt;
    return std::exp(-elapsed.count() / DecaySeconds);
}

} // namespace damaskgate::upstreams
