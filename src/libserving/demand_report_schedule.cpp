#include "bulrushstack/serving/demand_report_schedule.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds minInterval { 400 };
constexpr milliseconds intervalPerInstance { 20 }; ///< Limits the holder to 50 regular reports per second.
constexpr milliseconds minUrgentInterval { 60 };
constexpr milliseconds urgentIntervalPerInstance { 4 }; ///< Limits the holder to 250 urgent reports per second.
constexpr milliseconds timeout { 500 };
constexpr milliseconds minHolderTimeout { 1200 };

} // namespace

DemandReportSchedule::DemandReportSchedule(unsigned instances)
    : m_instances(instances)
{
}

milliseconds DemandReportSchedule::reportInterval(bool isUrgent) const
{
    const auto n = static_cast<int>(m_instances);
    return isUrgent ? std::max(minUrgentInterval, urgentIntervalPerInstance * n)
                    : std::max(minInterval, intervalPerInstance * n);
}

milliseconds DemandReportSchedule::reportTimeout() { return timeout; }

milliseconds DemandReportSchedule::holderTimeout() const
{
    // The schedule is checked every minUrgentInterval, so the next report may start that much after its interval, and
    // the response may then take the whole report timeout.
    return std::max(minHolderTimeout, reportInterval(false) + minUrgentInterval + timeout);
}

} // namespace bulrushstack
