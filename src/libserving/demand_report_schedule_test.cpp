#include "bulrushstack/serving/demand_report_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(ADemandReportSchedule)

// Guards against a large fleet whose instances consider the holder lost between two of their own reports, so that they
// refuse adapter requests and read the lease from the store.
BOOST_AUTO_TEST_CASE(KeepsInContactWithAHolderThatAnswersEachReport)
{
    for (unsigned n = 0; n <= 1000; ++n) {
        const DemandReportSchedule schedule(n);
        const auto longestGap = schedule.reportInterval(false) + DemandReportSchedule::reportTimeout();
        BOOST_REQUIRE(schedule.holderTimeout() > longestGap);
    }
}

// Guards against urgent reports of a large fleet that overload the holder.
BOOST_AUTO_TEST_CASE(BoundsTheReportsThatReachTheHolder)
{
    constexpr double mostReportsPerSecond = 260;
    for (unsigned n = 20; n <= 1000; ++n) {
        for (const bool isUrgent : { false, true }) {
            const std::chrono::duration<double> interval = DemandReportSchedule(n).reportInterval(isUrgent);
            BOOST_REQUIRE(n / interval.count() <= mostReportsPerSecond);
        }
    }
}

BOOST_AUTO_TEST_CASE(ReportsSoonerWhileRequestsMissTheirModel)
{
    for (unsigned n : { 0U, 9U, 84U, 390U })
        BOOST_TEST((DemandReportSchedule(n).reportInterval(true) < DemandReportSchedule(n).reportInterval(false)));
}

BOOST_AUTO_TEST_CASE(NoticesALostHolderOfASmallFleetSoon)
{
    BOOST_TEST((DemandReportSchedule(9).holderTimeout() <= 1200ms));
}

BOOST_AUTO_TEST_SUITE_END()
