#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Splits a series of server-sent events at the ends of events, so that a part of an event never goes on to a caller,
/// and remembers the number of the last whole one.
class EventSplitter {
public:
    /// Takes received bytes and returns all whole events that have not been returned yet, byte for byte.
    std::string extractEvents(std::string_view data);

    /// Returns what is left at the end of the series, which need not end with an empty line.
    std::string extractRemainder();

    /// Returns how many bytes of an event are held back until its end.
    std::size_t pendingBytes() const { return m_buffer.size(); }

    /// Drops a part of an event that was cut off.
    void dropPartialEvent() { m_buffer.clear(); }

    /// Returns the id of the last whole event; empty if it had none.
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

    /// Returns how many whole events were returned.
    std::size_t eventCount() const { return m_eventCount; }

private:
    void recordEvent(std::string_view event);

    std::string m_buffer;
    std::optional<std::string> m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace bulrushstack
