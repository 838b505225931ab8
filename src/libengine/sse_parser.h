#pragma once

#include "bulrushstack/kernel/result.h"

#include <optional>
#include <string>
#include <string_view>

namespace bulrushstack {

/// One event of a text/event-stream.
struct SseEvent {
    std::optional<std::string> id; ///< "id" field; unlike in the SSE standard, not inherited from earlier events
    std::string event; ///< "event" field (the event type); empty if there is none
    std::string data; ///< "data" fields, joined by line feeds

    friend bool operator==(const SseEvent&, const SseEvent&) = default;
};

/// Size limits of the parser in bytes, which bound its memory use.
struct SseLimits {
    std::size_t line = 1024 * 1024; ///< maximum length of a line
    std::size_t event = 4 * 1024 * 1024; ///< maximum length of the joined data of one event
};

/// Incremental parser of server-sent events. The input may be split at any byte, also between CR and LF.
///
/// Skips comments and unknown fields. An event is returned only once the empty line that terminates it has been read.
/// Not thread-safe.
class SseParser {
public:
    explicit SseParser(SseLimits limits = {});

    /// Appends input. Call next() until it returns no event before the next feed(), so that the memory use stays
    /// bounded.
    void feed(std::string_view part);

    /// Returns the next complete event, or an empty optional if more input is needed. Fails with Errc::TooLarge and
    /// MayHaveRun if a line or an event exceeds its limit; the parser must not be used afterwards.
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
    std::size_t m_position = 0; ///< index of the first unread byte in m_input
    std::string m_line;
    bool m_isAfterCarriageReturn = false; ///< whether an LF that follows directly is part of the same line end
    SseEvent m_event;
    bool m_hasData = false;
};

} // namespace bulrushstack
