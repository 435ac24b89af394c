#include "damaskgate/upstreams/faultestimator.h"

#include <algorithm>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

constexpr double MostCertain = 0.995; // no evidence makes the model surer than that
constexpr double LeastBadness = 0.002;
constexpr double BadAtStart = 0.02; // of an endpoint that nothing is known about

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FaultEstimator::FaultEstimator(const FaultModel &model, core::Instant now)
    : model(model), bad(BadAtStart), updatedAt(now)
{}

void FaultEstimator::onOutcome(bool isFailure, double weight, core::Instant now)
{
    const double prior = this->faultProbability(now);
    const double whenBad =
        isFailure ? this->model.failuresWhenBad : 1 - this->model.failuresWhenBad;
    const double whenSound =
        isFailure ? this->model.failuresWhenSound : 1 - this->model.failuresWhenSound;
    const double odds = prior / (1 - prior) * std::pow(whenBad / whenSound, weight);
    this->bad = std::clamp(odds / (1 + odds), LeastBadness, MostCertain);
    this->updatedAt = now;
}

double FaultEstimator::faultProbability(core::Instant now) const
{
    const double turnBad = 1 / seconds(this->model.soundSpell);
    const double turnSound = 1 / seconds(this->model.badSpell);
    const double settled = turnBad / (turnBad + turnSound);
    const double passed = std::max(seconds(now - this->updatedAt), 0.0);
    return settled + (this->bad - settled) * std::exp(-(turnBad + turnSound) * passed);
}

core::Instant FaultEstimator::lastEvidenceAt() const
{
    return this->updatedAt;
}

double FaultEstimator::failureProbability(core::Instant now) const
{
    const double bad = this->faultProbability(now);
    return bad * this->model.failuresWhenBad + (1 - bad) * this->model.failuresWhenSound;
}

} // namespace damaskgate::upstreams
