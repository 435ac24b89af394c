#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "damaskgate/core/event.h"
#include "damaskgate/core/names.h"
#include "damaskgate/timeline/hybridclock.h"

namespace damaskgate::timeline {

struct EventLogOptions
{
    core::HostName host;
    std::uint64_t incarnation = 0;
    std::string path; //!< file to append the lines to; empty: standard output
    std::size_t queueLines = 8192; //!< capacity of the write queue; overflow drops the oldest lines
    std::size_t keptLines = 1024; //!< number of latest lines kept in memory
};

/**
 * Writes each event as one line of key=value pairs with wall time, hybrid time, host and
 * incarnation. A dedicated thread writes the lines. When it cannot keep up, the oldest queued lines
 * are dropped and counted.
 */
class EventLog final : public core::IEventSink
{
public:
    explicit EventLog(const EventLogOptions &options);
    ~EventLog() override;

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void record(const core::Event &event) override;

    /** @return the hybrid time to attach to a message to another process. */
    HybridTime stamp();

    /** Advances the clock to the hybrid time of a received message, so that later events follow. */
    void observe(HybridTime remote);

    /** @return at most @p limit of the latest lines, oldest first. */
    std::vector<std::string> latest(std::size_t limit) const;

    /** @return number of lines dropped since the start. */
    std::uint64_t droppedLines() const;

    /**
     * Waits up to 5 s until all recorded lines are written or dropped. Used at shutdown and in
     * tests.
     */
    void flush();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::timeline
