#include "event_splitter.h"

#include <utility>

namespace bulrushstack {

namespace {

/// Returns the position behind the empty line that ends the first event from `start`; npos if there is none.
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

std::string EventSplitter::take(std::string_view data)
{
    m_rest.append(data);
    std::size_t end = 0;
    for (std::size_t next = findEventEnd(m_rest, 0); next != std::string::npos; next = findEventEnd(m_rest, end)) {
        noteEvent(std::string_view(m_rest).substr(end, next - end));
        end = next;
    }
    std::string out = m_rest.substr(0, end);
    m_rest.erase(0, end);
    return out;
}

std::string EventSplitter::takeRest()
{
    if (!m_rest.empty())
        noteEvent(m_rest);
    return std::exchange(m_rest, std::string());
}

void EventSplitter::noteEvent(std::string_view event)
{
    ++m_count;
    for (std::size_t line = 0; line < event.size();) {
        const auto end = event.find('\n', line);
        auto content = event.substr(line, end - line);
        if (content.ends_with('\r'))
            content.remove_suffix(1);
        if (content.starts_with("id:")) {
            content.remove_prefix(3);
            if (content.starts_with(' '))
                content.remove_prefix(1);
            m_lastId = std::string(content);
        }
        if (end == std::string_view::npos)
            break;
        line = end + 1;
    }
}

} // namespace bulrushstack
