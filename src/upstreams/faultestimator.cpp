#include "damaskgate/upstreams/faultestimator.h"

#include <algorithm>
#include <cmath>

namespace damaskgate::upstreams {

namespace {

// Limits of the estimate after an outcome, whatever the evidence.
constexpr double MaxFaultProbability = 0.995;
constexpr double MinFaultProbability = 0.002;

// Estimate for an endpoint without known outcomes.
constexpr double InitialFaultProbability = 0.02;

double seconds(core::Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

FaultEstimator::FaultEstimator(const FaultModel &model, core::Instant now)
    : model(model), probability(InitialFaultProbability), updatedAt(now)
{}

void FaultEstimator::onOutcome(bool isFailure, double weight, core::Instant now)
{
    const double prior = this->faultProbability(now);
    const double likelihoodWhenFaulty =
        isFailure ? this->model.failureRateWhenFaulty : 1 - this->model.failureRateWhenFaulty;
    const double likelihoodWhenHealthy =
        isFailure ? this->model.failureRateWhenHealthy : 1 - this->model.failureRateWhenHealthy;
    const double odds =
        prior / (1 - prior) * std::pow(likelihoodWhenFaulty / likelihoodWhenHealthy, weight);
    this->probability = std::clamp(odds / (1 + odds), MinFaultProbability, MaxFaultProbability);
    this->updatedAt = now;
    this->isBasedOnEvidence = true;
}

void FaultEstimator::adopt(double faultProbability, core::Instant now)
{
    this->probability = std::clamp(faultProbability, MinFaultProbability, MaxFaultProbability);
    this->updatedAt = now;
    this->isBasedOnEvidence = true;
}

bool FaultEstimator::hasEvidence() const
{
    return this->isBasedOnEvidence;
}

double FaultEstimator::faultProbability(core::Instant now) const
{
    const double faultRate = 1 / seconds(this->model.meanHealthyTime);
    const double recoveryRate = 1 / seconds(this->model.meanFaultTime);
    const double stationary = faultRate / (faultRate + recoveryRate);
    const double elapsed = std::max(seconds(now - this->updatedAt), 0.0);
    return stationary
        + (this->probability - stationary) * std::exp(-(faultRate + recoveryRate) * elapsed);
}

core::Instant FaultEstimator::lastEvidenceAt() const
{
    return this->updatedAt;
}

double FaultEstimator::failureProbability(core::Instant now) const
{
    const double faulty = this->faultProbability(now);
    return faulty * this->model.failureRateWhenFaulty
        + (1 - faulty) * this->model.failureRateWhenHealthy;
}

} // namespace damaskgate::upstreams
