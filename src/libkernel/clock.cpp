#include "bulrushstack/kernel/clock.h"

#include <ctime>

namespace bulrushstack {

SteadyTime SystemClock::now() const { return std::chrono::steady_clock::now(); }

SteadyTime SystemClock::bootNow() const
{
    timespec reading {};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return SteadyTime(std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec));
}

WallTime SystemClock::wallNow() const { return std::chrono::system_clock::now(); }

SteadyTime ManualClock::now() const { return m_now; }

SteadyTime ManualClock::bootNow() const { return m_now + m_suspended; }

WallTime ManualClock::wallNow() const { return m_wallNow; }

void ManualClock::advance(std::chrono::nanoseconds duration)
{
    m_now += std::chrono::duration_cast<SteadyTime::duration>(duration);
    m_wallNow += std::chrono::duration_cast<WallTime::duration>(duration);
}

void ManualClock::suspend(std::chrono::nanoseconds duration)
{
    m_suspended += duration;
    m_wallNow += std::chrono::duration_cast<WallTime::duration>(duration);
}

} // namespace bulrushstack
