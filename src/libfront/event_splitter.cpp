#include "event_splitter.h"

namespace bulrushstack {

namespace {

/// Returns the position after the empty line that ends the event which begins at `start`; npos if the event is
/// incomplete.
std::size_t findEventEnd(std::string_view text, std::size_t start)
{
    std::size_t line = start;
    for (;;) {
        const auto end = text.find('\n', line);
        if (end == std::string_view::npos)
            return end;
        const auto content = text.substr(line, end - line);
        if (content.empty() || content == "\r")
            return end + 1;
        line = end + 1;
    }
}

} // namespace

std::string EventSplitter::extractEvents(std::string_view data)
{
    m_buffer.append(data);
    std::size_t end = 0;
    for (std::size_t next = findEventEnd(m_buffer, 0); next != std::string::npos; next = findEventEnd(m_buffer, end)) {
        recordEvent(std::string_view(m_buffer).substr(end, next - end));
        end = next;
    }
    std::string out = m_buffer.substr(0, end);
    m_buffer.erase(0, end);
    return out;
}

void EventSplitter::recordEvent(std::string_view event)
{
    ++m_eventCount;
    for (std::size_t line = 0; line < event.size();) {
        const auto end = event.find('\n', line);
        auto content = event.substr(line, end - line);
        if (content.ends_with('\r'))
            content.remove_suffix(1);
        if (content.starts_with("id:")) {
            content.remove_prefix(3);
            if (content.starts_with(' '))
                content.remove_prefix(1);
            m_lastEventId = std::string(content);
        }
        if (end == std::string_view::npos)
            break;
        line = end + 1;
    }
}

} // namespace bulrushstack
