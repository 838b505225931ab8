#include "bulrushstack/serving/stream_origins.h"

namespace bulrushstack {

namespace {

/// Time for which a stream is remembered. It is longer than callers wait for a response, retries included.
constexpr std::chrono::seconds streamMemory { 60 };
constexpr std::size_t maxStreams = 20'000;

} // namespace

StreamOrigins::StreamOrigins(const Clock& clock)
    : m_clock(clock)
{
}

void StreamOrigins::recordOwn(StreamOrigin origin) { record(std::move(origin), true); }

void StreamOrigins::merge(const std::vector<StreamOrigin>& origins)
{
    for (const auto& it : origins)
        record(it, false);
}

void StreamOrigins::record(StreamOrigin origin, bool isOwn)
{
    dropOldest();
    std::string request = origin.request;
    const bool isNew = m_records.try_emplace(request, Record { std::move(origin), isOwn }).second;
    if (isNew)
        m_byTime.emplace(m_clock.now(), std::move(request));
}

void StreamOrigins::dropOldest()
{
    while (
        !m_byTime.empty() && (m_byTime.size() > maxStreams || m_clock.now() - m_byTime.begin()->first > streamMemory)) {
        m_records.erase(m_byTime.begin()->second);
        m_byTime.erase(m_byTime.begin());
    }
}

const StreamOrigin* StreamOrigins::find(std::string_view request) const
{
    const auto it = m_records.find(request);
    return it == m_records.end() ? nullptr : &it->second.origin;
}

std::vector<StreamOrigin> StreamOrigins::ownSince(SteadyTime since) const
{
    std::vector<StreamOrigin> out;
    for (auto it = m_byTime.rbegin(); it != m_byTime.rend() && it->first > since; ++it) {
        if (out.size() == maxReportedStreams)
            break;
        const auto& record = m_records.find(it->second)->second;
        if (record.isOwn)
            out.push_back(record.origin);
    }
    return out;
}

} // namespace bulrushstack
