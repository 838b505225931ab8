#include "bulrushstack/serving/stream_origins.h"

#include <cstddef>

namespace bulrushstack {

namespace {

constexpr std::size_t maxStreams = 20'000;

} // namespace

StreamOrigins::StreamOrigins(const Clock& clock)
    : m_clock(clock)
{
}

void StreamOrigins::record(StreamOrigin origin)
{
    dropOldest();
    std::string request = origin.request;
    const bool isNew = m_origins.try_emplace(request, std::move(origin)).second;
    if (isNew)
        m_byTime.emplace(m_clock.now(), std::move(request));
}

void StreamOrigins::dropOldest()
{
    while (!m_byTime.empty() && (m_byTime.size() > maxStreams || m_clock.now() - m_byTime.begin()->first > memory)) {
        m_origins.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

const StreamOrigin* StreamOrigins::find(std::string_view request) const
{
    const auto it = m_origins.find(request);
    return it == m_origins.end() ? nullptr : &it->second;
}

} // namespace bulrushstack
