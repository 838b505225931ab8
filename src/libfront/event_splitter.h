#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// Splits a stream of server-sent events (SSE) into complete events, so that a partial event is never forwarded to a
/// client, and keeps the id of the last complete event.
class EventSplitter {
public:
    /// Appends received bytes and returns all complete events that have not been returned yet, byte for byte.
    std::string extractEvents(std::string_view data);

    /// Returns the size of the buffered incomplete event, in bytes. If it is not 0 at the end of the stream, the stream
    /// is truncated.
    std::size_t pendingBytes() const { return m_buffer.size(); }

    /// Discards the incomplete event of a stream that was cut off.
    void dropPartialEvent() { m_buffer.clear(); }

    /// Returns the last id that a complete event had; empty if none had an id.
    const std::optional<std::string>& lastEventId() const { return m_lastEventId; }

    /// Returns the number of complete events that were returned.
    std::size_t eventCount() const { return m_eventCount; }

private:
    void recordEvent(std::string_view event);

    std::string m_buffer;
    std::optional<std::string> m_lastEventId;
    std::size_t m_eventCount = 0;
};

} // namespace bulrushstack
