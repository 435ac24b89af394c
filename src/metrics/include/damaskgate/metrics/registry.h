#pragma once

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskgate::metrics {

/** Label names with their values. */
using Labels = std::vector<std::pair<std::string, std::string>>;

/** A count that only increases. Thread-safe; updates take no lock. */
class Counter
{
public:
    void add(std::uint64_t amount = 1)
    {
        this->count.fetch_add(amount, std::memory_order_relaxed);
    }

    std::uint64_t value() const
    {
        return this->count.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> count { 0 };
};

/** A value that can increase and decrease. Thread-safe; updates take no lock. */
class Gauge
{
public:
    void set(double amount)
    {
        this->current.store(amount, std::memory_order_relaxed);
    }

    void add(double amount)
    {
        this->current.fetch_add(amount, std::memory_order_relaxed);
    }

    double value() const
    {
        return this->current.load(std::memory_order_relaxed);
    }

private:
    std::atomic<double> current { 0 };
};

/** Range and resolution of a histogram with bins of equal width on a logarithmic axis. */
struct HistogramOptions
{
    double lowest = 0.0001; //!< lower end of the range, in the unit of the metric, usually seconds
    double highest = 100; //!< upper end of the range, in the unit of the metric
    unsigned bins = 60;
};

/** Distribution of a value. Thread-safe; updates take no lock. */
class Histogram
{
public:
    explicit Histogram(HistogramOptions options);
    ~Histogram();

    Histogram(const Histogram &) = delete;
    Histogram &operator=(const Histogram &) = delete;

    void record(double value);

    std::uint64_t count() const;

    double sum() const;

    /** A bin with its inclusive upper edge. The upper edge of the last bin is infinite. */
    struct Bin
    {
        double upperEdge = 0;
        std::uint64_t cumulativeCount = 0;
    };

    /** @return all bins in ascending order, with cumulative counts. */
    std::vector<Bin> bins() const;

    /**
     * @param fraction the quantile to look up, 0 to 1
     * @return the upper edge of the bin that contains the quantile; 0 without recorded values
     */
    double quantile(double fraction) const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

/**
 * Owns the metrics of a process. Each lookup locks a mutex, so callers should keep the returned
 * reference. It stays valid during the lifetime of the registry.
 */
class Registry
{
public:
    Registry();
    ~Registry();

    Registry(const Registry &) = delete;
    Registry &operator=(const Registry &) = delete;

    /** @return the counter @p name with @p labels, created on first use. */
    Counter &counter(std::string_view name, std::string_view help, const Labels &labels = {});

    /** @return the gauge @p name with @p labels, created on first use. */
    Gauge &gauge(std::string_view name, std::string_view help, const Labels &labels = {});

    /** @return the histogram @p name with @p labels, created on first use with @p options. */
    Histogram &histogram(std::string_view name, std::string_view help, const Labels &labels = {},
                         HistogramOptions options = {});

    /** @return all metrics in the Prometheus text format. */
    std::string exposition() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::metrics
