#pragma once

#include <array>
#include <map>
#include <memory>
#include <vector>

#include "damaskgate/core/names.h"
#include "damaskgate/core/time.h"

#include "damaskgate/health/healthmessages.h"
#include "damaskgate/health/latencyscale.h"

namespace damaskgate::health {

/** Scores from which an endpoint counts as faulty. */
struct FaultThresholds
{
    double failure = 10; //!< cumulative log-likelihood ratio of failed exchanges
    double slowness = 10; //!< cumulative log-likelihood ratio of slow exchanges
};

/**
 * Detects faulty endpoints of one service: compares the endpoints with each other on the evidence
 * that all entry hosts report.
 */
class FaultDetector
{
public:
    explicit FaultDetector(FaultThresholds thresholds = {});
    ~FaultDetector();
    FaultDetector(FaultDetector &&) noexcept;
    FaultDetector &operator=(FaultDetector &&) noexcept;

    /** @param count number of requests that one endpoint processes at the same time */
    void setSlots(std::uint32_t count);

    /** Records @p report from @p host in failure domain @p domain. */
    void onReport(const core::HostName &host, const core::DomainName &domain,
                  const EvidenceReport &report);

    /** Evaluates the reports received since the previous call; call it every ReportInterval. */
    void evaluate();

    /** @return the faulty endpoints, in order of falling score. */
    std::vector<core::EndpointName> faulty() const;

    /**
     * Restarts detection for @p endpoint, which is in use again. Its scores start at half of the
     * thresholds, so that a fault that persists is detected with half of the evidence.
     */
    void onReadmitted(const core::EndpointName &endpoint);

    /** @return latency above which an exchange counts as slow. */
    core::Duration slowLimit() const;

private:
    struct Record;
    struct DecayingCounts;
    struct Batch;

    double medianBadFraction(DecayingCounts Record::*counts) const;
    double medianWorkTime() const;
    void evaluateEndpoint(Record &record, double typicalFailure, double typicalSlowness);
    void updateSlowLimit();

    FaultThresholds thresholds;
    std::map<core::EndpointName, std::unique_ptr<Record>> records;
    std::array<double, LatencyBucketCount> latencies {};
    core::Duration currentSlowLimit = DefaultSlowLimit;
    std::uint32_t slots = 1;
};

} // namespace damaskgate::health
