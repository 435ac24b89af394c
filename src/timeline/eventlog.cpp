#include "damaskgate/timeline/eventlog.h"

#include <algorithm>
#include <chrono>
#include <mutex>

#include <boost/circular_buffer.hpp>
#include <spdlog/async.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

namespace damaskgate::timeline {

namespace {

constexpr std::size_t WriterThreads = 1;
constexpr std::chrono::seconds FlushTimeout { 5 };
constexpr std::chrono::milliseconds FlushPoll { 1 };

std::int64_t wallMicros()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count();
}

spdlog::sink_ptr makeSink(const std::string &path)
{
    if (path.empty()) {
        return std::make_shared<spdlog::sinks::stdout_sink_mt>();
    }
    return std::make_shared<spdlog::sinks::basic_file_sink_mt>(path);
}

/** Counts the lines written to the wrapped sink. */
class CountingSink final : public spdlog::sinks::sink
{
public:
    explicit CountingSink(spdlog::sink_ptr target) : target(std::move(target)) {}

    void log(const spdlog::details::log_msg &message) override
    {
        this->target->log(message);
        this->target->flush();
        this->written.fetch_add(1, std::memory_order_release);
    }

    void flush() override
    {
        this->target->flush();
    }

    void set_pattern(const std::string &pattern) override
    {
        this->target->set_pattern(pattern);
    }

    void set_formatter(std::unique_ptr<spdlog::formatter> formatter) override
    {
        this->target->set_formatter(std::move(formatter));
    }

    std::uint64_t writtenLines() const
    {
        return this->written.load(std::memory_order_acquire);
    }

private:
    spdlog::sink_ptr target;
    std::atomic<std::uint64_t> written { 0 };
};

} // namespace

class EventLog::Impl
{
public:
    explicit Impl(const EventLogOptions &options)
        : processFields(" host=" + options.host.text()
                        + " incarnation=" + std::to_string(options.incarnation) + ' '),
          latestLines(options.keptLines),
          pool(std::make_shared<spdlog::details::thread_pool>(options.queueLines, WriterThreads)),
          sink(std::make_shared<CountingSink>(makeSink(options.path))),
          logger(std::make_shared<spdlog::async_logger>(
              "events", this->sink, this->pool, spdlog::async_overflow_policy::overrun_oldest))
    {
        this->logger->set_pattern("time=%Y-%m-%dT%H:%M:%S.%fZ %v", spdlog::pattern_time_type::utc);
    }

    void record(const core::Event &event)
    {
        const std::string text = core::toLine(event);
        const std::scoped_lock lock(this->mutex);
        std::string line =
            "hlc=" + toText(this->clock.tick(wallMicros())) + this->processFields + text;
        this->logger->info(line);
        ++this->recordedLines;
        this->latestLines.push_back(std::move(line));
    }

    HybridTime stamp()
    {
        const std::scoped_lock lock(this->mutex);
        return this->clock.tick(wallMicros());
    }

    void observe(HybridTime remote)
    {
        const std::scoped_lock lock(this->mutex);
        this->clock.observe(remote, wallMicros());
    }

    std::vector<std::string> latest(std::size_t limit) const
    {
        const std::scoped_lock lock(this->mutex);
        const std::size_t count = std::min(limit, this->latestLines.size());
        return { this->latestLines.end() - static_cast<std::ptrdiff_t>(count),
                 this->latestLines.end() };
    }

    std::uint64_t droppedLines() const
    {
        return this->pool->overrun_counter();
    }

    void flush()
    {
        const auto deadline = std::chrono::steady_clock::now() + FlushTimeout;
        while (this->pendingLines() > 0 && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(FlushPoll);
        }
    }

private:
    std::uint64_t pendingLines() const
    {
        const std::scoped_lock lock(this->mutex);
        const std::uint64_t handledLines = this->sink->writtenLines() + this->droppedLines();
        return this->recordedLines > handledLines ? this->recordedLines - handledLines : 0;
    }

    std::string processFields;
    mutable std::mutex mutex;
    HybridClock clock;
    boost::circular_buffer<std::string> latestLines;
    std::uint64_t recordedLines = 0;
    std::shared_ptr<spdlog::details::thread_pool> pool;
    std::shared_ptr<CountingSink> sink;
    std::shared_ptr<spdlog::async_logger> logger;
};

EventLog::EventLog(const EventLogOptions &options) : impl(std::make_unique<Impl>(options)) {}

EventLog::~EventLog()
{
    this->flush();
}

void EventLog::record(const core::Event &event)
{
    this->impl->record(event);
}

HybridTime EventLog::stamp()
{
    return this->impl->stamp();
}

void EventLog::observe(HybridTime remote)
{
    this->impl->observe(remote);
}

std::vector<std::string> EventLog::latest(std::size_t limit) const
{
    return this->impl->latest(limit);
}

std::uint64_t EventLog::droppedLines() const
{
    return this->impl->droppedLines();
}

void EventLog::flush()
{
    this->impl->flush();
}

} // namespace damaskgate::timeline
