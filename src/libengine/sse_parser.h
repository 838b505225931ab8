#pragma once

#include "bulrushstack/kernel/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// One event of a text/event-stream.
struct SseEvent {
    std::optional<std::string> id; ///< the "id" field of this event; not inherited from earlier events
    std::string event; ///< the "event" field; empty if there is none
    std::string data; ///< the "data" fields, joined by line feeds

    friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

/// Largest sizes that the parser accepts, in bytes; they bound its memory.
struct SseLimits {
    std::size_t line = 1024 * 1024;
    std::size_t event = 4 * 1024 * 1024; ///< the joined data of one event
};

/// Incremental parser of server-sent events. Parts may be split at any byte, also between CR and LF.
///
/// Comments and unknown fields are skipped. An event that the input does not close with an empty line is not
/// returned. Not thread-safe.
class SseParser {
public:
    explicit SseParser(SseLimits limits = {});

    /// Appends input. Call next() until it returns no event before feeding more, so that memory stays bounded.
    void feed(std::string_view part);

    /// Returns the next complete event, or an empty optional if more input is needed. Fails with Errc::TooLarge and
    /// MayHaveRun if a line or an event exceeds its limit; the parser is unusable after that.
    Result<std::optional<SseEvent>> next();

private:
    enum class LineState {
        Partial,
        Complete,
        TooLong,
    };

    LineState readLine();
    bool parseField(std::string_view line);
    std::optional<SseEvent> finishEvent();

    SseLimits m_limits;
    std::string m_input;
    std::size_t m_position = 0; ///< of the first unread byte in m_input
    std::string m_line;
    bool m_isAfterCarriageReturn = false; ///< a line feed that follows belongs to the same line end
    SseEvent m_event;
    bool m_hasData = false;
};

} // namespace bulrushstack
