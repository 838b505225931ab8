#pragma once

#include <chrono>

namespace bulrushstack {

using SteadyTime = std::chrono::steady_clock::time_point;
using WallTime = std::chrono::system_clock::time_point;

/// Source of time. Decisions take readings from a Clock so that tests can set the time.
class Clock {
public:
    virtual ~Clock() = default;

    /// Returns monotonic time; used for deadlines and leases.
    virtual SteadyTime now() const = 0;

    /// Returns wall-clock time; used only in records that outlive the process.
    virtual WallTime wallNow() const = 0;
};

/// The clocks of the operating system. Thread-safe.
class SystemClock final : public Clock {
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;
};

/// A clock that moves only when told to. Not thread-safe.
class ManualClock final : public Clock {
public:
    SteadyTime now() const override;
    WallTime wallNow() const override;

    /// Moves both clocks forward by the given duration.
    void advance(std::chrono::nanoseconds duration);

private:
    SteadyTime m_now { std::chrono::hours(1) };
    WallTime m_wallNow { std::chrono::hours(24 * 365 * 50) };
};

} // namespace bulrushstack
