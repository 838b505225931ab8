#include "bulrushstack/serving/demand_report_schedule.h"

#include <algorithm>

namespace bulrushstack {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds minInterval { 400 };
constexpr milliseconds intervalPerInstance { 20 }; ///< 50 reports a second at the holder
constexpr milliseconds minUrgentInterval { 60 };
constexpr milliseconds urgentIntervalPerInstance { 4 }; ///< 250 reports a second at the holder
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
    // The next report starts up to one look at the schedule after the interval and may take its whole timeout.
    return std::max(minHolderTimeout, reportInterval(false) + minUrgentInterval + timeout);
}

} // namespace bulrushstack
