#pragma once

#include <chrono>

#include "damaskgate/core/time.h"

namespace damaskgate::upstreams {

/** Rates and chances that an FaultEstimator reckons with; from the attempt logs of a calm day. */
struct FaultModel
{
    core::Duration soundSpell = std::chrono::seconds(22); //!< mean time between two bad spells
    core::Duration badSpell = std::chrono::seconds(9); //!< mean length of a bad spell
    double failuresWhenBad = 0.85; //!< share of the requests that fail in a bad spell
    double failuresWhenSound = 0.012; //!< share that fail all the same
};

/**
 * How likely it is that an endpoint is in a bad spell, in which it fails most requests while its
 * health answers are good: a hidden Markov model of two states. Each outcome moves the likelihood
 * by Bayes' rule; without news it drifts back to the share of time that endpoints are bad.
 */
class FaultEstimator
{
public:
    FaultEstimator(const FaultModel &model, core::Instant now);

    /**
     * Takes in what some host saw.
     *
     * @param weight of the evidence: 1 for a whole outcome, less for a hint
     */
    void onOutcome(bool isFailure, double weight, core::Instant now);

    /** @return the likelihood of a bad spell at @p now. */
    double faultProbability(core::Instant now) const;

    /** @return when evidence was last taken in. */
    core::Instant lastEvidenceAt() const;

    /** @return the likelihood that a request sent at @p now fails. */
    double failureProbability(core::Instant now) const;

private:
    FaultModel model;
    double bad; //!< as of updatedAt
    core::Instant updatedAt;
};

} // namespace damaskgate::upstreams
