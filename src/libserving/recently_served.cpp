#include "bulrushstack/serving/recently_served.h"

#include <utility>

namespace bulrushstack {

RecentlyServed::RecentlyServed(const Clock& clock, Options options)
    : m_clock(clock)
    , m_options(options)
{
}

void RecentlyServed::record(const std::string& id)
{
    const auto now = m_clock.now();
    if (m_current.size() >= m_options.limit || now - m_currentSince >= m_options.period) {
        m_older = std::exchange(m_current, {});
        m_currentSince = now;
    }
    m_current[id] = now;
}

std::optional<SteadyTime> RecentlyServed::find(const std::string& id) const
{
    for (const auto* times : { &m_current, &m_older }) {
        if (const auto it = times->find(id); it != times->end())
            return it->second;
    }
    return std::nullopt;
}

} // namespace bulrushstack
