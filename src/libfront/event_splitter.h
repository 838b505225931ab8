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
    std::string take(std::string_view data);

    /// Returns what is left at the end of the series, which need not end with an empty line.
    std::string takeRest();

    /// Returns how many bytes of an event are held back until its end.
    std::size_t pendingBytes() const { return m_rest.size(); }

    /// Drops a part of an event that was cut off.
    void dropPartialEvent() { m_rest.clear(); }

    /// Returns the id of the last whole event; empty if it had none.
    const std::optional<std::string>& lastId() const { return m_lastId; }

    /// Returns how many whole events were returned.
    std::size_t count() const { return m_count; }

private:
    void noteEvent(std::string_view event);

    std::string m_rest;
    std::optional<std::string> m_lastId;
    std::size_t m_count = 0;
};

} // namespace bulrushstack
