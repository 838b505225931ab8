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

/// Source of time. Code whose behaviour depends on time reads it from a Clock so that tests can control it.
class Clock {
public:
    virtual ~Clock() = default;

    /// Returns monotonic time that stops while the machine is suspended; used for deadlines and other time limits.
    virtual SteadyTime now() const = 0;

    /// Returns monotonic time that also advances while the machine is suspended. Used for leases, since another
    /// instance may take over an expired lease while this machine is suspended.
    virtual SteadyTime bootNow() const = 0;

    /// Returns wall-clock time; used only where the value outlives the process, as in log lines and stored records.
    virtual WallTime wallNow() const = 0;
};

/// Reads the clocks of the operating system. Thread-safe.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override;
    SteadyTime bootNow() const override;
    WallTime wallNow() const override;
};

/// A clock for tests that advances only when advance() or suspend() is called. Not thread-safe.
class ManualClock final : public Clock {
public:
    SteadyTime now() const override;
    SteadyTime bootNow() const override;
    WallTime wallNow() const override;

    /// Advances all clocks by the given duration.
    void advance(std::chrono::nanoseconds duration);

    /// Simulates a suspended machine: advances bootNow() and wallNow() by the given duration but not now().
    void suspend(std::chrono::nanoseconds duration);

private:
    std::chrono::nanoseconds m_suspended {};
    SteadyTime m_now { std::chrono::hours(1) };
    WallTime m_wallNow { std::chrono::hours(24 * 365 * 50) };
};

} // namespace bulrushstack
