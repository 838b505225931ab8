#pragma once

#include "bulrushstack/kernel/clock.h"

#include <deque>
#include <string>

namespace bulrushstack::standins {

/// The load reports of the recent past, so that the engine can report with a lag.
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

    /// Returns the report that was in force before the lag; the oldest one if the engine is younger than that.
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
