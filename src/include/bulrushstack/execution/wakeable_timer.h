#pragma once

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

namespace bulrushstack {

/// Lets one coroutine wait for a point in time or for a call of wake(). All methods run on one thread.
class WakeableTimer {
public:
    virtual ~WakeableTimer() = default;

    /// Completes at the given time, or at once if wake() was called since the last wait.
    virtual boost::asio::awaitable<void> waitUntil(SteadyTime time) = 0;

    /// Ends the wait in progress, or the next one.
    virtual void wake() = 0;
};

using WakeableTimerPtr = std::shared_ptr<WakeableTimer>;

/// Makes alarms. Tests pass one whose alarms follow a ManualClock.
using TimerFactory = std::function<WakeableTimerPtr()>;

/// Returns a factory of alarms that follow the monotonic clock of the operating system.
TimerFactory systemTimerFactory(boost::asio::io_context& context);

} // namespace bulrushstack
