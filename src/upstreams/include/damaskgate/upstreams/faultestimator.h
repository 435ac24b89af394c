#pragma once

#include <chrono>

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** Parameters of a FaultEstimator, from the attempt logs of a day without incidents. */
struct FaultModel
{
    core::Duration meanHealthyTime = std::chrono::seconds(22); //!< between two fault episodes
    core::Duration meanFaultTime = std::chrono::seconds(9); //!< length of a fault episode
    double failureRateWhenFaulty = 0.85; //!< fraction that fails in a fault episode
    double failureRateWhenHealthy = 0.012; //!< fraction that fails otherwise
};

/**
 * Estimates the probability that an endpoint is in a fault episode, in which it fails most requests
 * while it passes its health checks. Uses a hidden Markov model with the states healthy and faulty:
 * each outcome updates the probability by Bayes' rule; between outcomes the probability returns to
 * the mean fraction of time that endpoints are faulty.
 */
class FaultEstimator
{
public:
    FaultEstimator(const FaultModel &model, core::Instant now);

    /**
     * Updates the estimate with an outcome that this or another host has seen.
     *
     * @param weight weight of the evidence: 1 for a success or failure, less for a weaker sign
     */
    void onOutcome(bool isFailure, double weight, core::Instant now);

    /** Replaces the estimate by @p faultProbability, as another host has estimated it at @p now. */
    void adopt(double faultProbability, core::Instant now);

    /** @return whether the estimate is based on an outcome or on that of another host. */
    bool hasEvidence() const;

    /** @return the probability that the endpoint is faulty at @p now. */
    double faultProbability(core::Instant now) const;

    /** @return the time of the last outcome, or of the construction. */
    core::Instant lastEvidenceAt() const;

    /** @return the probability that a request sent at @p now fails. */
    double failureProbability(core::Instant now) const;

private:
    FaultModel model;
    double probability; //!< fault probability at updatedAt
    core::Instant updatedAt;
    bool isBasedOnEvidence = false;
};

} // namespace damaskgate::upstreams
