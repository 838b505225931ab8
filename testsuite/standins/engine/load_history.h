#pragma once

#include "bulrushstack/kernel/clock.h"

#include <deque>
#include <string>

namespace bulrushstack::standins {

/// Recent load reports, which let the engine return its load with a configurable delay.
class LoadHistory {
public:
    explicit LoadHistory(std::chrono::nanoseconds lag)
        : m_lag(lag)
    {
    }

    void add(std::string report)
    {
        const auto now = std::chrono::steady_clock::now();
        m_reports.emplace_back(now, std::move(report));
        dropExpired(now);
    }

    /// Returns the report that was current one lag ago, or the oldest report if none is that old. At least one report
    /// must have been added.
    const std::string& delayedReport()
    {
        dropExpired(std::chrono::steady_clock::now());
        return m_reports.front().second;
    }

private:
    void dropExpired(SteadyTime now)
    {
        while (m_reports.size() > 1 && m_reports[1].first + m_lag <= now)
            m_reports.pop_front();
    }

    std::chrono::nanoseconds m_lag;
    std::deque<std::pair<SteadyTime, std::string>> m_reports;
};

} // namespace bulrushstack::standins
