#include "bulrushstack/serving/demand_schedule.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestInterval { 400 };
constexpr milliseconds intervalPerInstance { 20 }; ///< 50 reports a second at the holder
constexpr milliseconds shortestUrgentInterval { 60 };
constexpr milliseconds urgentIntervalPerInstance { 4 }; ///< 250 reports a second at the holder
constexpr milliseconds timeout { 500 };
constexpr milliseconds shortestContactTimeout { 1200 };

} // namespace

DemandSchedule::DemandSchedule(unsigned instances)
    : m_instances(instances)
{
}

milliseconds DemandSchedule::reportInterval(bool isUrgent) const
{
    const auto n = static_cast<int>(m_instances);
    return isUrgent ? std::max(shortestUrgentInterval, urgentIntervalPerInstance * n)
                    : std::max(shortestInterval, intervalPerInstance * n);
}

milliseconds DemandSchedule::reportTimeout() { return timeout; }

milliseconds DemandSchedule::contactTimeout() const
{
    // The next report starts up to one look at the schedule after the interval and may take its whole timeout.
    return std::max(shortestContactTimeout, reportInterval(false) + shortestUrgentInterval + timeout);
}

} // namespace bulrushstack
