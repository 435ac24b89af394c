#include "damaskgate/metrics/registry.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <mutex>
#include <sstream>
#include <variant>

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

namespace damaskgate::metrics {

namespace bh = boost::histogram;

namespace {

using AtomicCount = bh::accumulators::count<std::uint64_t, true>;
using LogAxis = bh::axis::regular<
    double, bh::axis::transform::log, bh::use_default,
    bh::axis::option::bitset<bh::axis::option::underflow.value | bh::axis::option::overflow.value>>;
using AtomicHistogram = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<AtomicCount>>;

AtomicHistogram makeHistogram(const HistogramOptions &options)
{
    return bh::make_histogram_with(bh::dense_storage<AtomicCount>(),
                                   LogAxis(options.bins, options.lowest, options.highest));
}

void appendEscaped(std::string &text, std::string_view value)
{
    for (const char c : value) {
        if (c == '\n') {
            text += "\\n";
            continue;
        }
        if (c == '"' || c == '\\') {
            text += '\\';
        }
        text += c;
    }
}

/** @return the labels in the Prometheus text format with braces; empty without labels. */
std::string labelText(const Labels &labels)
{
    std::string text;
    for (const auto &[name, value] : labels) {
        text += text.empty() ? "{" : ",";
        text += name + "=\"";
        appendEscaped(text, value);
        text += '"';
    }
    return text.empty() ? text : text + '}';
}

Labels withUpperEdge(Labels labels, double edge)
{
    std::ostringstream text;
    if (std::isinf(edge)) {
        text << "+Inf";
    } else {
        text << edge;
    }
    labels.emplace_back("le", text.str());
    return labels;
}

} // namespace

class Histogram::Impl
{
public:
    explicit Impl(HistogramOptions options) : data(makeHistogram(options)) {}

    AtomicHistogram data;
    std::atomic<double> sum { 0 };
};

Histogram::Histogram(HistogramOptions options) : impl(std::make_unique<Impl>(options)) {}

Histogram::~Histogram() = default;

void Histogram::record(double value)
{
    this->impl->data(value);
    this->impl->sum.fetch_add(value, std::memory_order_relaxed);
}

std::uint64_t Histogram::count() const
{
    return this->bins().back().cumulativeCount;
}

double Histogram::sum() const
{
    return this->impl->sum.load(std::memory_order_relaxed);
}

std::vector<Histogram::Bin> Histogram::bins() const
{
    const LogAxis &axis = this->impl->data.axis();
    std::vector<Bin> result;
    std::uint64_t cumulative = 0;
    for (int index = -1; index <= axis.size(); ++index) {
        cumulative += this->impl->data.at(index).value();
        const double edge =
            index == axis.size() ? std::numeric_limits<double>::infinity() : axis.value(index + 1);
        result.push_back({ edge, cumulative });
    }
    return result;
}

double Histogram::quantile(double fraction) const
{
    const std::vector<Bin> all = this->bins();
    const double targetCount = fraction * static_cast<double>(all.back().cumulativeCount);
    const auto reachesTarget = [targetCount](const Bin &bin) {
        return bin.cumulativeCount > 0 && static_cast<double>(bin.cumulativeCount) >= targetCount;
    };
    const auto found = std::ranges::find_if(all, reachesTarget);
    return found == all.end() ? 0 : found->upperEdge;
}

namespace {

/** All metrics with one name; they differ in their labels. */
struct Family
{
    using Metric =
        std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>, std::unique_ptr<Histogram>>;

    std::string help;
    std::map<Labels, Metric> metrics;
};

/** Writes one metric in the Prometheus text format. */
class Writer
{
public:
    Writer(std::ostream &output, const std::string &name, const Labels &labels)
        : output(output), name(name), labels(labels)
    {}

    void operator()(const std::unique_ptr<Counter> &counter) const
    {
        this->output << this->name << labelText(this->labels) << ' ' << counter->value() << '\n';
    }

    void operator()(const std::unique_ptr<Gauge> &gauge) const
    {
        this->output << this->name << labelText(this->labels) << ' ' << gauge->value() << '\n';
    }

    void operator()(const std::unique_ptr<Histogram> &histogram) const
    {
        const std::vector<Histogram::Bin> bins = histogram->bins();
        for (const Histogram::Bin &bin : bins) {
            this->output << this->name << "_bucket"
                         << labelText(withUpperEdge(this->labels, bin.upperEdge)) << ' '
                         << bin.cumulativeCount << '\n';
        }
        const std::string text = labelText(this->labels);
        this->output << this->name << "_sum" << text << ' ' << histogram->sum() << '\n';
        this->output << this->name << "_count" << text << ' ' << bins.back().cumulativeCount
                     << '\n';
    }

private:
    std::ostream &output;
    const std::string &name;
    const Labels &labels;
};

constexpr std::string_view TypeNames[] = { "counter", "gauge", "histogram" };

} // namespace

class Registry::Impl
{
public:
    template <typename T, typename... Arguments>
    T &findOrCreate(std::string_view name, std::string_view help, const Labels &labels,
                    Arguments... arguments)
    {
        const std::scoped_lock lock(this->mutex);
        Family &family = this->families[std::string(name)];
        family.help = help;
        const auto found = family.metrics.find(labels);
        if (found != family.metrics.end()) {
            return *std::get<std::unique_ptr<T>>(found->second);
        }
        auto created = std::make_unique<T>(arguments...);
        T &metric = *created;
        family.metrics.emplace(labels, std::move(created));
        return metric;
    }

    std::string exposition() const
    {
        const std::scoped_lock lock(this->mutex);
        std::ostringstream output;
        for (const auto &[name, family] : this->families) {
            const std::size_t type = family.metrics.begin()->second.index();
            output << "# HELP " << name << ' ' << family.help << "\n# TYPE " << name << ' '
                   << TypeNames[type] << '\n';
            for (const auto &[labels, metric] : family.metrics) {
                std::visit(Writer(output, name, labels), metric);
            }
        }
        return output.str();
    }

private:
    mutable std::mutex mutex;
    std::map<std::string, Family> families;
};

Registry::Registry() : impl(std::make_unique<Impl>()) {}

Registry::~Registry() = default;

Counter &Registry::counter(std::string_view name, std::string_view help, const Labels &labels)
{
    return this->impl->findOrCreate<Counter>(name, help, labels);
}

Gauge &Registry::gauge(std::string_view name, std::string_view help, const Labels &labels)
{
    return this->impl->findOrCreate<Gauge>(name, help, labels);
}

Histogram &Registry::histogram(std::string_view name, std::string_view help, const Labels &labels,
                               HistogramOptions options)
{
    return this->impl->findOrCreate<Histogram>(name, help, labels, options);
}

std::string Registry::exposition() const
{
    return this->impl->exposition();
}

} // namespace damaskgate::metrics
