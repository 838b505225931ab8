#pragma once

#include <chrono>

namespace bulrushstack {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Returns the duration in whole milliseconds, rounded towards zero.
inline std::chrono::milliseconds millisecondsOf(std::chrono::nanoseconds duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

/// Source of time. Decisions take readings from a Clock so that tests can set the time.
class Clock {
public:
    virtual ~Clock() = default;

    /// Returns monotonic time; used for deadlines and leases.
    virtual SteadyTime now() const = 0;

    /// Returns monotonic time that also counts while the machine is suspended; used for leases, since their other
    /// holders do not stand still meanwhile.
    virtual SteadyTime bootNow() const = 0;

    /// Returns wall-clock time; used only in records that outlive the process.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system. Thread-safe.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override;
    SteadyTime bootNow() const override;
    WallTime wallNow() const override;
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock final : public Clock {
public:
    SteadyTime now() const override;
    SteadyTime bootNow() const override;
    WallTime wallNow() const override;

    /// Moves all clocks forward by the given duration.
    void advance(std::chrono::nanoseconds duration);

    /// Moves the clocks that count suspension, as a suspended machine does.
    void suspend(std::chrono::nanoseconds duration);

private:
    std::chrono::nanoseconds m_suspended {};
    SteadyTime m_now { std::chrono::hours(1) };
    WallTime m_wallNow { std::chrono::hours(24 * 365 * 50) };
};

} // namespace bulrushstack
