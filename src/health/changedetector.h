#pragma once

#include <cstdint>
#include <map>

#include "damaskgate/core/names.h"

namespace damaskgate::health {

/** Good and bad exchanges. */
struct Sample
{
    std::uint32_t good = 0;
    std::uint32_t bad = 0;
};

/** The share of bad exchanges that is usual, and the one that is a fault. */
struct Hypotheses
{
    double usual = 0.01;
    double faulty = 0.2;
};

/**
 * Cumulative sum of log-likelihood ratios (CUSUM) of one endpoint: detects that the share of bad
 * exchanges has changed from usual to faulty.
 *
 * Keeps apart what each host and each failure domain contributed, so that a change that only one
 * of them sees is blamed on its own links.
 */
class ChangeDetector
{
public:
    /** Counts exchanges that @p host in @p domain reported. */
    void add(const core::HostName &host, const core::DomainName &domain, Sample sample,
             Hypotheses hypotheses);

    /** @return the sum; the chance of a false alarm falls exponentially with it. */
    double score() const;

    /** @return whether the score reaches @p threshold and several hosts and domains agree. */
    bool isAlarm(double threshold) const;

    /** Starts again at @p score. */
    void reset(double score);

private:
    struct Contribution
    {
        double score = 0;
        std::uint32_t samples = 0;
    };

    double sum = 0;
    std::map<core::HostName, Contribution> hosts; //!< since the sum was zero
    std::map<core::DomainName, Contribution> domains;
};

} // namespace damaskgate::health
