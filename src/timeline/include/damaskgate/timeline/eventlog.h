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
    std::string path; //!< file that lines are appended to; empty: standard output
    std::size_t queueLines = 8192; //!< waiting to be written; more are dropped
    std::size_t keptLines = 1024; //!< latest lines kept in memory
};

/**
 * Writes each event as one line of key=value pairs, stamped with wall time, hybrid time, host and
 * incarnation. Lines are written by a thread of its own; when that falls behind, the oldest waiting
 * lines are dropped and counted.
 */
class EventLog final : public core::IEventSink
{
public:
    explicit EventLog(const EventLogOptions &options);
    ~EventLog() override;

    EventLog(const EventLog &) = delete;
    EventLog &operator=(const EventLog &) = delete;

    void record(const core::Event &event) override;

    /** @return a hybrid time to send with a message to another process. */
    HybridTime stamp();

    /** Takes in the hybrid time of a message, so that later events are placed after it. */
    void observe(HybridTime remote);

    /** @return the latest lines, oldest first, at most @p limit. */
    std::vector<std::string> latest(std::size_t limit) const;

    /** @return the lines dropped since the start. */
    std::uint64_t droppedLines() const;

    /** Waits until the lines recorded so far are written; for orderly ends and tests. */
    void flush();

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace damaskgate::timeline
