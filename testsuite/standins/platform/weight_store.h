#pragma once

#include "bulrushstack/kernel/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <set>

namespace bulrushstack::standins {

struct WeightStoreOptions {
    std::uint64_t rateMilli = 1500; ///< maximum number of loads that start per 1000 s; 0: no limit
    std::uint64_t concurrency = 9; ///< maximum number of concurrent loads at full speed
    std::chrono::nanoseconds loadTime = std::chrono::milliseconds(500); ///< duration of one load at full speed
};

/// Computes the start times and the progress of weight loads. Loads start in order, spaced by the rate limit. Up to c
/// concurrent loads (WeightStoreOptions::concurrency) progress at full speed; n > c loads progress at the speed c / n
/// each. The times passed to the member functions must not decrease.
class WeightSchedule {
public:
    /// Load time at full speed, accumulated since the schedule was created. A load ends when this total reaches the
    /// goal that begin() returned for it.
    using Progress = std::chrono::duration<double, std::nano>;

    explicit WeightSchedule(WeightStoreOptions options);

    /// Returns the earliest start time for the next load and reserves that slot.
    SteadyTime reserveStart(SteadyTime now);

    /// Starts a load and returns the progress at which it ends.
    Progress begin(SteadyTime now);

    /// Returns the time until the load reaches its goal if no other load begins or ends; zero if it has reached it.
    std::chrono::nanoseconds remainingTime(Progress goal, SteadyTime now);

    /// Ends one load, which speeds up the remaining ones if they share the bandwidth.
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

/// Simulates the platform's weight store: transfers no data, but takes the load times computed by WeightSchedule.
class WeightStore {
public:
    /// The clock must outlive the store. Timers use real time; with a manual clock, only loads of zero duration
    /// complete.
    WeightStore(const Clock& clock, WeightStoreOptions options);

    /// Completes when the load has ended. The store must outlive the returned awaitable.
    boost::asio::awaitable<void> load();

private:
    const Clock& m_clock;
    WeightSchedule m_schedule;
    std::set<boost::asio::steady_timer*> m_activeTimers; ///< timers of the loads in flight, cancelled when a load ends
};

} // namespace bulrushstack::standins
