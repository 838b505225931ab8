#include "sse_parser.h"

#include <algorithm>
#include <utility>

namespace bulrushstack {

namespace {

Failure tooLarge(std::string detail)
{
    return { .code = Errc::TooLarge, .verdict = Verdict::MayHaveRun, .detail = std::move(detail) };
}

} // namespace

SseParser::SseParser(SseLimits limits)
    : m_limits(limits)
{
}

void SseParser::feed(std::string_view part)
{
    m_input.erase(0, m_position);
    m_position = 0;
    m_input += part;
}

Result<std::optional<SseEvent>> SseParser::next()
{
    for (;;) {
        const auto state = readLine();
        if (state == LineState::TooLong)
            return tooLarge("a line of the event stream exceeds " + std::to_string(m_limits.line) + " bytes");
        if (state == LineState::Partial)
            return std::optional<SseEvent>();
        const auto line = std::exchange(m_line, std::string());
        if (line.empty()) {
            if (auto event = finishEvent())
                return event;
        } else if (!parseField(line)) {
            return tooLarge("an event of the stream exceeds " + std::to_string(m_limits.event) + " bytes");
        }
    }
}

SseParser::LineState SseParser::readLine()
{
    if (m_isAfterCarriageReturn && m_position < m_input.size()) {
        m_isAfterCarriageReturn = false;
        if (m_input[m_position] == '\n')
            ++m_position;
    }
    const auto end = std::min(m_input.find_first_of("\r\n", m_position), m_input.size());
    const auto n = end - m_position;
    if (n > m_limits.line - m_line.size())
        return LineState::TooLong;
    m_line.append(m_input, m_position, n);
    m_position = end;
    if (end == m_input.size())
        return LineState::Partial;
    m_isAfterCarriageReturn = m_input[end] == '\r';
    ++m_position;
    return LineState::Complete;
}

bool SseParser::parseField(std::string_view line)
{
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "id") {
        m_event.id = std::string(value);
    } else if (name == "event") {
        m_event.event = std::string(value);
    } else if (name == "data") {
        if (m_hasData)
            m_event.data += '\n';
        m_event.data += value;
        m_hasData = true;
    }
    return m_event.data.size() <= m_limits.event;
}

std::optional<SseEvent> SseParser::finishEvent()
{
    auto event = std::exchange(m_event, SseEvent());
    const bool hasData = std::exchange(m_hasData, false);
    if (!hasData && event.event.empty())
        return std::nullopt;
    return event;
}

} // namespace bulrushstack
