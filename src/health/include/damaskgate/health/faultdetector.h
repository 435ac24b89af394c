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

/** How much evidence makes an endpoint faulty. */
struct FaultThresholds
{
    double failure = 10; //!< log-likelihood ratio of failures
    double slowness = 10; //!< log-likelihood ratio of slow exchanges
};

/** Judges the endpoints of one service against each other by the reports of all entry hosts. */
class FaultDetector
{
public:
    explicit FaultDetector(FaultThresholds thresholds = {});
    ~FaultDetector();
    FaultDetector(FaultDetector &&) noexcept;
    FaultDetector &operator=(FaultDetector &&) noexcept;

    /** @param count requests that one endpoint works on at the same time */
    void setSlots(std::uint32_t count);

    /** Counts @p report of @p host, which stands in @p domain. */
    void onReport(const core::HostName &host, const core::DomainName &domain,
                  const EvidenceReport &report);

    /** Judges what came since the last call; called every ReportInterval. */
    void evaluate();

    /** @return the faulty endpoints, the most certain first. */
    std::vector<core::EndpointName> faulty() const;

    /** @p endpoint is used again; a fault that goes on is found with half of the evidence. */
    void onReadmitted(const core::EndpointName &endpoint);

    /** @return latency from which an exchange counts as slow. */
    core::Duration slowLimit() const;

private:
    struct Record;
    struct Share;
    struct Batch;

    double medianShare(Share Record::*kind) const;
    double medianWorkTime() const;
    void judge(Record &record, double usualFailure, double usualSlowness);
    void updateSlowLimit();

    FaultThresholds thresholds;
    std::map<core::EndpointName, std::unique_ptr<Record>> records;
    std::array<double, LatencyBucketCount> latencies {};
    core::Duration limit = DefaultSlowLimit;
    std::uint32_t slots = 1;
};

} // namespace damaskgate::health
