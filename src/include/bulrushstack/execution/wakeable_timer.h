#pragma once

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace bulrushstack {

/// A timer on which one coroutine waits until a point in time or until wake() is called. Not thread-safe: all methods
/// must be called on the same thread.
class WakeableTimer {
public:
    virtual ~WakeableTimer() = default;

    /// Completes at the given time or when wake() is called; immediately if wake() was called since the last wait.
    virtual boost::asio::awaitable<void> waitUntil(SteadyTime time) = 0;

    /// Ends the wait in progress. If there is none, the next wait completes immediately.
    virtual void wake() = 0;
};

using WakeableTimerPtr = std::shared_ptr<WakeableTimer>;

/// Creates timers. Tests pass a factory whose timers follow a ManualClock.
using TimerFactory = std::function<WakeableTimerPtr()>;

/// Returns a factory of timers that follow the monotonic clock of the operating system.
TimerFactory systemTimerFactory(boost::asio::io_context& context);

} // namespace bulrushstack
