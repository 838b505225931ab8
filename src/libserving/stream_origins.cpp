#include "bulrushstack/serving/stream_origins.h"

#include <cstddef>

namespace bulrushstack {

namespace {

constexpr std::size_t maxStreams = 20'000;

} // namespace

bool isVersionDoubtful(const StreamOrigin& origin, SteadyTime now, const UpstreamDirectory& directory)
{
    const auto* entry = directory.find(origin.upstream);
    if (!entry || entry->softwareVersion == origin.softwareVersion)
        return false;
    return !directory.wasRunning(origin.upstream, origin.startedAt, now - origin.age);
}

StreamOrigins::StreamOrigins(const Clock& clock)
    : m_clock(clock)
{
}

void StreamOrigins::record(StreamOrigin origin)
{
    dropOldest();
    const auto now = m_clock.now();
    std::string request = origin.request;
    const bool isNew = m_records.try_emplace(request, Record { std::move(origin), now }).second;
    if (isNew)
        m_byTime.emplace(now, std::move(request));
}

void StreamOrigins::dropOldest()
{
    while (!m_byTime.empty() && (m_byTime.size() > maxStreams || m_clock.now() - m_byTime.begin()->first > memory)) {
        m_records.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

std::optional<StreamOrigin> StreamOrigins::find(std::string_view request) const
{
    const auto it = m_records.find(request);
    if (it == m_records.end())
        return std::nullopt;
    auto out = it->second.origin;
    out.age += millisecondsOf(m_clock.now() - it->second.recordedAt);
    return out;
}

} // namespace bulrushstack
