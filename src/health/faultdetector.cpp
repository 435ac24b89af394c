#include "damaskgate/health/faultdetector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

#include "changedetector.h"

namespace damaskgate::health {

namespace {

constexpr double ShareDecay = 0.9; //!< of counts, for each evaluation
constexpr double RecentDecay = 0.6; //!< finds a fault of the whole service in time
constexpr double LatencyDecay = 0.98;
constexpr double SharesMinimum = 4; //!< exchanges that make a share meaningful
constexpr double LatencyMinimum = 40; //!< exchanges that make a median meaningful
constexpr double SlowFactor = 3; //!< times the median latency
constexpr double WorkTimeFactor = 1.8; //!< times the median work time makes an endpoint slow
constexpr std::chrono::milliseconds SmallestSlowLimit { 5 };

struct Limits
{
    double least;
    double most;
    double faultyAtLeast;
};

constexpr Limits FailureLimits { 0.01, 0.5, 0.15 };
constexpr Limits SlownessLimits { 0.08, 0.6, 0.45 };

Hypotheses hypothesesFor(double usual, const Limits &limits)
{
    const double bounded = std::clamp(usual, limits.least, limits.most);
    const double faulty = std::max(limits.faultyAtLeast, bounded + (1 - bounded) * 0.5);
    return { bounded, bounded > limits.faultyAtLeast / 2 ? faulty : limits.faultyAtLeast };
}

} // namespace

struct FaultDetector::Batch
{
    core::HostName host;
    core::DomainName domain;
    Sample failures;
    Sample slowness;
};

struct FaultDetector::Share
{
    explicit Share(double decayFactor) : decayFactor(decayFactor) {}

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
     * Time of a slot that one exchange takes, in seconds. Exchanges that only wait for a slot of a
     * busy endpoint do not count, so that a queue is not taken for slowness.
     */
    double workTime() const
    {
        return this->slotTime / std::max(this->ended, 1.0);
    }

    std::vector<Batch> batches; //!< since the last evaluation
    core::Duration busy {}; //!< since the last evaluation
    double slotTime = 0; //!< seconds
    double ended = 0;
    Share failures { ShareDecay };
    Share slowness { ShareDecay };
    Share recentFailures { RecentDecay };
    Share recentSlowness { RecentDecay };
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
            host, domain, { evidence.answered, evidence.failed }, { evidence.prompt, evidence.slow }
        };
        record->failures.add(batch.failures);
        record->slowness.add(batch.slowness);
        record->recentFailures.add(batch.failures);
        record->recentSlowness.add(batch.slowness);
        record->batches.push_back(batch);
        record->busy += evidence.busy;
        record->ended += evidence.ended;
    }
    for (const LatencyCount &latency : report.latencies) {
        this->latencies.at(std::min<std::uint8_t>(latency.bucket, LatencyBucketCount - 1)) +=
            latency.count;
    }
}

void FaultDetector::evaluate()
{
    const double usualFailure =
        std::max(this->medianShare(&Record::failures), this->medianShare(&Record::recentFailures));
    const double usualSlowness =
        std::max(this->medianShare(&Record::slowness), this->medianShare(&Record::recentSlowness));
    for (const auto &record : this->records | std::views::values) {
        this->judge(*record, usualFailure, usualSlowness);
    }
    this->updateSlowLimit();
}

double FaultDetector::medianShare(Share Record::*kind) const
{
    std::vector<double> shares;
    for (const auto &record : this->records | std::views::values) {
        const Share &share = (*record).*kind;
        const double count = share.good + share.bad;
        if (count >= SharesMinimum) {
            shares.push_back(share.bad / count);
        }
    }
    if (shares.empty()) {
        return 0;
    }
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::ranges::nth_element(shares, middle);
    return *middle;
}

double FaultDetector::medianWorkTime() const
{
    std::vector<double> times;
    for (const auto &record : this->records | std::views::values) {
        if (record->ended >= SharesMinimum) {
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

void FaultDetector::judge(Record &record, double usualFailure, double usualSlowness)
{
    const Hypotheses failure = hypothesesFor(usualFailure, FailureLimits);
    const Hypotheses slowness = hypothesesFor(usualSlowness, SlownessLimits);
    for (const Batch &batch : record.batches) {
        if (usualFailure <= FailureLimits.most) {
            record.failureDetector.add(batch.host, batch.domain, batch.failures, failure);
        }
        if (usualSlowness <= SlownessLimits.most) {
            record.slownessDetector.add(batch.host, batch.domain, batch.slowness, slowness);
        }
    }
    record.batches.clear();
    const core::Duration most = ReportInterval * this->slots;
    record.slotTime += std::chrono::duration<double>(std::min(record.busy, most)).count();
    record.busy = {};
    record.failures.decay();
    record.slowness.decay();
    record.recentFailures.decay();
    record.recentSlowness.decay();
    record.slotTime *= ShareDecay;
    record.ended *= ShareDecay;
}

void FaultDetector::updateSlowLimit()
{
    const double total = std::accumulate(this->latencies.begin(), this->latencies.end(), 0.0);
    if (total < LatencyMinimum) {
        return;
    }
    double below = 0;
    std::uint8_t bucket = 0;
    for (; bucket + 1 < LatencyBucketCount && below + this->latencies.at(bucket) < total / 2;
         ++bucket) {
        below += this->latencies.at(bucket);
    }
    const auto slow =
        std::chrono::duration<double, std::nano>(latencyBucketUpperBound(bucket)) * SlowFactor;
    this->limit = std::max<core::Duration>(std::chrono::duration_cast<core::Duration>(slow),
                                           SmallestSlowLimit);
    std::ranges::for_each(this->latencies, [](double &count) { count *= LatencyDecay; });
}

std::vector<core::EndpointName> FaultDetector::faulty() const
{
    const double usualWorkTime = this->medianWorkTime();
    std::vector<std::pair<double, core::EndpointName>> found;
    for (const auto &[name, record] : this->records) {
        const bool isFailing = record->failureDetector.isAlarm(this->thresholds.failure);
        const bool isSlow = record->workTime() >= usualWorkTime * WorkTimeFactor
            && record->slownessDetector.isAlarm(this->thresholds.slowness);
        if (isFailing || isSlow) {
            const double score =
                std::max(record->failureDetector.score(), record->slownessDetector.score());
            found.emplace_back(-score, name);
        }
    }
    std::ranges::sort(found);
    std::vector<core::EndpointName> names;
    std::ranges::copy(found | std::views::values, std::back_inserter(names));
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
    return this->limit;
}

} // namespace damaskgate::health
