#pragma once

#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace damaskgate::core {

/** One key=value pair of an event. */
struct EventField
{
    /** Longer values are cut off, since lines are kept in memory and values may come from outside.
     */
    static constexpr std::size_t MaxValueBytes = 1024;

    EventField(std::string_view key, std::string_view value);
    EventField(std::string_view key, const char *value);
    EventField(std::string_view key, bool value);
    EventField(std::string_view key, double value);

    template <std::integral T>
    EventField(std::string_view key, T value) : key(key), value(std::to_string(value))
    {}

    std::string key;
    std::string value;
};

/** An event of a process. It is written as one log line and shown on the operator's time line. */
struct Event
{
    std::string name;
    std::vector<EventField> fields;
};

/** Receives the events of a process. Implementations are safe to call from any thread. */
class IEventSink
{
public:
    virtual ~IEventSink() = default;

    /** Records @p event. Never blocks, and reports no error to the calling code. */
    virtual void record(const Event &event) = 0;
};

/** Discards every event. */
class NullEventSink final : public IEventSink
{
public:
    void record(const Event &event) override;
};

/** @return @p event as one line of key=value pairs; values with special characters are quoted. */
std::string toLine(const Event &event);

} // namespace damaskgate::core
