#include "damaskgate/health/faultdetector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

#include "changedetector.h"

namespace damaskgate::health {

namespace {

// Factors by which counts decay at each evaluation.
constexpr double CountDecay = 0.9;
/** Decays faster, so that a fault of the whole service is recognised before it causes ejections. */
constexpr double RecentCountDecay = 0.6;
constexpr double LatencyDecay = 0.98;

/** With fewer exchanges, an endpoint's fraction of bad exchanges and work time mean little. */
constexpr double MinExchangesOfEndpoint = 4;
constexpr double MinExchangesOfMedian = 40; //!< fewer give no meaningful median latency
constexpr double SlowLimitFactor = 3; //!< ratio of the slow limit to the median latency
constexpr double SlowWorkTimeFactor = 1.8; //!< ratio of a slow endpoint's work time to the median
constexpr std::chrono::milliseconds MinSlowLimit { 5 };

/** Limits of the hypotheses, as fractions of bad exchanges. */
struct HypothesisLimits
{
    double minTypical;
    double maxTypical; //!< the detector is not updated while the typical fraction is higher
    double minFaulty;
};

constexpr HypothesisLimits FailureLimits { 0.01, 0.5, 0.15 };
constexpr HypothesisLimits SlownessLimits { 0.08, 0.6, 0.45 };

Hypotheses hypothesesFor(double typical, const HypothesisLimits &limits)
{
    const double clampedTypical = std::clamp(typical, limits.minTypical, limits.maxTypical);
    const double faulty = std::max(limits.minFaulty, clampedTypical + (1 - clampedTypical) * 0.5);
    return { clampedTypical, clampedTypical > limits.minFaulty / 2 ? faulty : limits.minFaulty };
}

} // namespace

/** Exchanges with one endpoint from one report. */
struct FaultDetector::Batch
{
    core::HostName host;
    core::DomainName domain;
    Sample failures;
    Sample slowness;
};

/** Numbers of good and bad exchanges, in which recent ones weigh more. */
struct FaultDetector::DecayingCounts
{
    explicit DecayingCounts(double decayFactor) : decayFactor(decayFactor) {}

    void add(Sample sample)
    {
        this->good += sample.good;
        this->bad += sample.bad;
    }

    void decay()
    {
        this->good *= this->decayFactor;
        this->bad *= this->decayFactor;
    }

    double decayFactor;
    double good = 0;
    double bad = 0;
};

struct FaultDetector::Record
{
    /**
     * Mean time in seconds for which one exchange occupies a slot. Excludes the time that exchanges
     * wait for a slot of a busy endpoint, so that a queue is not mistaken for slowness.
     */
    double workTime() const
    {
        return this->slotTime / std::max(this->ended, 1.0);
    }

    std::vector<Batch> batches; //!< since the last evaluation
    core::Duration busyTime {}; //!< since the last evaluation
    double slotTime = 0; //!< time for which slots were occupied, in seconds; decays
    double ended = 0; //!< exchanges that ended; decays
    DecayingCounts failures { CountDecay };
    DecayingCounts slowness { CountDecay };
    DecayingCounts recentFailures { RecentCountDecay };
    DecayingCounts recentSlowness { RecentCountDecay };
    ChangeDetector failureDetector;
    ChangeDetector slownessDetector;
};

FaultDetector::FaultDetector(FaultThresholds thresholds) : thresholds(thresholds) {}

FaultDetector::~FaultDetector() = default;
FaultDetector::FaultDetector(FaultDetector &&) noexcept = default;
FaultDetector &FaultDetector::operator=(FaultDetector &&) noexcept = default;

void FaultDetector::onReport(const core::HostName &host, const core::DomainName &domain,
                             const EvidenceReport &report)
{
    for (const EndpointEvidence &evidence : report.endpoints) {
        std::unique_ptr<Record> &record = this->records[evidence.endpoint];
        if (!record) {
            record = std::make_unique<Record>();
        }
        const Batch batch {
            host, domain, { evidence.succeeded, evidence.failed }, { evidence.fast, evidence.slow }
        };
        record->failures.add(batch.failures);
        record->slowness.add(batch.slowness);
        record->recentFailures.add(batch.failures);
        record->recentSlowness.add(batch.slowness);
        record->batches.push_back(batch);
        record->busyTime += evidence.busyTime;
        record->ended += evidence.ended;
    }
    for (const LatencyCount &latency : report.latencies) {
        this->latencies.at(std::min<std::uint8_t>(latency.bucket, LatencyBucketCount - 1)) +=
            latency.count;
    }
}

void FaultDetector::evaluate()
{
    const double typicalFailure = std::max(this->medianBadFraction(&Record::failures),
                                           this->medianBadFraction(&Record::recentFailures));
    const double typicalSlowness = std::max(this->medianBadFraction(&Record::slowness),
                                            this->medianBadFraction(&Record::recentSlowness));
    for (const auto &record : this->records | std::views::values) {
        this->evaluateEndpoint(*record, typicalFailure, typicalSlowness);
    }
    this->updateSlowLimit();
}

double FaultDetector::medianBadFraction(DecayingCounts Record::*counts) const
{
    std::vector<double> fractions;
    for (const auto &record : this->records | std::views::values) {
        const DecayingCounts &endpointCounts = (*record).*counts;
        const double total = endpointCounts.good + endpointCounts.bad;
        if (total >= MinExchangesOfEndpoint) {
            fractions.push_back(endpointCounts.bad / total);
        }
    }
    if (fractions.empty()) {
        return 0;
    }
    const auto middle = fractions.begin() + static_cast<std::ptrdiff_t>(fractions.size() / 2);
    std::ranges::nth_element(fractions, middle);
    return *middle;
}

double FaultDetector::medianWorkTime() const
{
    std::vector<double> times;
    for (const auto &record : this->records | std::views::values) {
        if (record->ended >= MinExchangesOfEndpoint) {
            times.push_back(record->workTime());
        }
    }
    if (times.empty()) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

void FaultDetector::setSlots(std::uint32_t count)
{
    this->slots = count;
}

void FaultDetector::evaluateEndpoint(Record &record, double typicalFailure, double typicalSlowness)
{
    const Hypotheses failure = hypothesesFor(typicalFailure, FailureLimits);
    const Hypotheses slowness = hypothesesFor(typicalSlowness, SlownessLimits);
    for (const Batch &batch : record.batches) {
        if (typicalFailure <= FailureLimits.maxTypical) {
            record.failureDetector.add(batch.host, batch.domain, batch.failures, failure);
        }
        if (typicalSlowness <= SlownessLimits.maxTypical) {
            record.slownessDetector.add(batch.host, batch.domain, batch.slowness, slowness);
        }
    }
    record.batches.clear();
    const core::Duration slotTimePerReport = ReportInterval * this->slots;
    record.slotTime +=
        std::chrono::duration<double>(std::min(record.busyTime, slotTimePerReport)).count();
    record.busyTime = {};
    record.failures.decay();
    record.slowness.decay();
    record.recentFailures.decay();
    record.recentSlowness.decay();
    record.slotTime *= CountDecay;
    record.ended *= CountDecay;
}

void FaultDetector::updateSlowLimit()
{
    const double total = std::accumulate(this->latencies.begin(), this->latencies.end(), 0.0);
    if (total < MinExchangesOfMedian) {
        return;
    }
    double below = 0;
    std::uint8_t bucket = 0;
    for (; bucket + 1 < LatencyBucketCount && below + this->latencies.at(bucket) < total / 2;
         ++bucket) {
        below += this->latencies.at(bucket);
    }
    const auto slow =
        std::chrono::duration<double, std::nano>(latencyBucketUpperBound(bucket)) * SlowLimitFactor;
    this->currentSlowLimit =
        std::max<core::Duration>(std::chrono::duration_cast<core::Duration>(slow), MinSlowLimit);
    std::ranges::for_each(this->latencies, [](double &count) { count *= LatencyDecay; });
}

std::vector<core::EndpointName> FaultDetector::faulty() const
{
    const double typicalWorkTime = this->medianWorkTime();
    std::vector<std::pair<double, core::EndpointName>> faultyByScore;
    for (const auto &[name, record] : this->records) {
        const bool isFailing = record->failureDetector.isAlarm(this->thresholds.failure);
        const bool isSlow = record->workTime() >= typicalWorkTime * SlowWorkTimeFactor
            && record->slownessDetector.isAlarm(this->thresholds.slowness);
        if (isFailing || isSlow) {
            const double score =
                std::max(record->failureDetector.score(), record->slownessDetector.score());
            faultyByScore.emplace_back(-score, name);
        }
    }
    std::ranges::sort(faultyByScore);
    std::vector<core::EndpointName> names;
    std::ranges::copy(faultyByScore | std::views::values, std::back_inserter(names));
    return names;
}

void FaultDetector::onReadmitted(const core::EndpointName &endpoint)
{
    const auto found = this->records.find(endpoint);
    if (found == this->records.end()) {
        return;
    }
    found->second->failureDetector.reset(this->thresholds.failure / 2);
    found->second->slownessDetector.reset(this->thresholds.slowness / 2);
}

core::Duration FaultDetector::slowLimit() const
{
    return this->currentSlowLimit;
}

} // namespace damaskgate::health
