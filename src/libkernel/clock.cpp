#include "bulrushstack/kernel/clock.h"

namespace bulrushstack {

SteadyTime SystemClock::now() const { return std::chrono::steady_clock::now(); }

WallTime SystemClock::wallNow() const { return std::chrono::system_clock::now(); }

SteadyTime ManualClock::now() const { return m_now; }

WallTime ManualClock::wallNow() const { return m_wallNow; }

void ManualClock::advance(std::chrono::nanoseconds duration)
{
    m_now += std::chrono::duration_cast<SteadyTime::duration>(duration);
    m_wallNow += std::chrono::duration_cast<WallTime::duration>(duration);
}

} // namespace bulrushstack
