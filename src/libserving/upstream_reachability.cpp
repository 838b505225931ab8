#include "bulrushstack/serving/upstream_reachability.h"

#include <algorithm>

namespace bulrushstack {

namespace {

/// Upstreams that must have failed: the crash of a single one is common.
constexpr std::ptrdiff_t minFailedUpstreams = 2;
constexpr std::chrono::milliseconds failureMemory { 2000 };

} // namespace

UpstreamReachability::UpstreamReachability(const Clock& clock)
    : m_clock(clock)
{
}

void UpstreamReachability::recordConnected() { m_failedAt.clear(); }

void UpstreamReachability::recordConnectFailure(const std::string& upstream)
{
    std::erase_if(m_failedAt, [this](const auto& it) { return !isRecent(it.second); });
    m_failedAt[upstream] = m_clock.now();
}

bool UpstreamReachability::isRecent(SteadyTime time) const { return m_clock.now() - time < failureMemory; }

bool UpstreamReachability::isCutOff() const
{
    return std::count_if(m_failedAt.begin(), m_failedAt.end(), [this](const auto& it) { return isRecent(it.second); })
        >= minFailedUpstreams;
}

bool UpstreamReachability::hasFailed(const std::string& upstream) const
{
    const auto it = m_failedAt.find(upstream);
    return it != m_failedAt.end() && isRecent(it->second);
}

} // namespace bulrushstack
