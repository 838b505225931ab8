#pragma once

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <set>

namespace bulrushstack::standins {

struct WeightStoreOptions {
    std::uint64_t rateMilli = 1500; ///< loads that may start in 1000 s; 0: no limit
    std::uint64_t concurrency = 9; ///< loads in flight at full speed
    std::chrono::nanoseconds loadTime = std::chrono::milliseconds(500); ///< of one load at full speed
};

/// When loads start and how fast they proceed. Loads start in order, spaced by the rate. With n loads in flight and
/// n above the concurrency c, each proceeds at the speed c / n. Times passed in must not decrease.
class WeightSchedule {
public:
    /// The progress made by a load that has been in flight all the time; a load ends when it reaches its goal.
    using Progress = std::chrono::duration<double, std::nano>;

    explicit WeightSchedule(WeightStoreOptions options);

    /// Returns when the next load may start, and takes that place.
    SteadyTime reserveStart(SteadyTime now);

    /// Counts a load as in flight and returns its goal.
    Progress begin(SteadyTime now);

    /// Returns how long the load still takes if no other load begins or ends; zero if it has reached its goal.
    std::chrono::nanoseconds remainingTime(Progress goal, SteadyTime now);

    void end(SteadyTime now);

    std::uint64_t inFlight() const { return m_inFlight; }

private:
    void advance(SteadyTime now);
    double speed() const;

    WeightStoreOptions m_options;
    SteadyTime m_nextStart = SteadyTime::min();
    SteadyTime m_advancedTo {};
    Progress m_progress {};
    std::uint64_t m_inFlight = 0;
};

/// The platform's weight store with the load times of a WeightSchedule.
class WeightStore {
public:
    /// Waits are real; with a manual clock, only loads that take no time end.
    WeightStore(const Clock& clock, WeightStoreOptions options);

    /// Completes when the load has ended. The store must outlive the wait.
    boost::asio::awaitable<void> load();

private:
    const Clock& m_clock;
    WeightSchedule m_schedule;
    std::set<boost::asio::steady_timer*> m_activeTimers; ///< of the loads in flight
};

} // namespace bulrushstack::standins
