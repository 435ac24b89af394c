#pragma once

#include <cstdint>
#include <map>

#include "damaskgate/core/names.h"

namespace damaskgate::health {

/** Numbers of good and bad exchanges; bad ones have failed, or were slow. */
struct Sample
{
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
};

/** Fractions of bad exchanges at a typical and at a faulty endpoint. */
struct Hypotheses
{
    double typical = 0.01;
    double faulty = 0.2;
};

/**
 * Cumulative sum of log-likelihood ratios (CUSUM) of one endpoint: detects that the fraction of bad
 * exchanges has changed from typical to faulty.
 *
 * Keeps the contributions of each host and each failure domain separately. A change that only one
 * of them observes is attributed to its own network links and raises no alarm.
 */
class ChangeDetector
{
public:
    /** Adds exchanges that @p host in @p domain reported; resets the sum if it falls to 0. */
    void add(const core::HostName &host, const core::DomainName &domain, Sample sample,
             Hypotheses hypotheses);

    /** @return the sum; the probability of a false alarm falls exponentially with it. */
    double score() const;

    /**
     * @return whether the score reaches @p threshold without depending on a single host or, if
     *         several failure domains report exchanges, on a single domain
     */
    bool isAlarm(double threshold) const;

    /** Sets the sum to @p score and discards the contributions. */
    void reset(double score);

private:
    struct Contribution
    {
        double score = 0;
        std::uint32_t samples = 0;
    };

    double sum = 0;
    std::map<core::HostName, Contribution> hosts; //!< since the last reset
    std::map<core::DomainName, Contribution> domains; //!< since the last reset
};

} // namespace damaskgate::health
