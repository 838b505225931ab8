#include "weight_store.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::standins;
using namespace std::chrono_literals;

namespace {

const SteadyTime start { 1h };

} // namespace

BOOST_AUTO_TEST_SUITE(WeightLoads)

// Guards against loads that start faster than the rate limit, and against unused rate that accumulates into a burst
// during idle time.
BOOST_AUTO_TEST_CASE(StartAtTheRate)
{
    WeightSchedule schedule({ .rateMilli = 2000 });
    BOOST_TEST((schedule.reserveStart(start) == start));
    BOOST_TEST((schedule.reserveStart(start) == start + 500ms));
    BOOST_TEST((schedule.reserveStart(start) == start + 1s));
    BOOST_TEST((schedule.reserveStart(start + 10s) == start + 10s));
    BOOST_TEST((schedule.reserveStart(start + 10s) == start + 10500ms));
}

BOOST_AUTO_TEST_CASE(StartAtOnceWithoutARate)
{
    WeightSchedule schedule({ .rateMilli = 0 });
    BOOST_TEST((schedule.reserveStart(start) == start));
    BOOST_TEST((schedule.reserveStart(start) == start));
}

BOOST_AUTO_TEST_CASE(ProceedAtFullSpeedUpToTheConcurrency)
{
    WeightSchedule schedule({ .concurrency = 2, .loadTime = 100ms });
    const auto a = schedule.begin(start);
    const auto b = schedule.begin(start + 40ms);
    BOOST_TEST((schedule.remainingTime(a, start + 40ms) == 60ms));
    BOOST_TEST((schedule.remainingTime(a, start + 100ms) == 0ns));
    BOOST_TEST((schedule.remainingTime(b, start + 100ms) == 40ms));
}

// Guards against full speed for more concurrent loads than the configured concurrency.
BOOST_AUTO_TEST_CASE(ShareTheSpeedAboveTheConcurrency)
{
    WeightSchedule schedule({ .concurrency = 2, .loadTime = 100ms });
    const auto a = schedule.begin(start);
    schedule.begin(start);
    const auto c = schedule.begin(start + 50ms);
    const auto d = schedule.begin(start + 50ms);
    BOOST_TEST((schedule.remainingTime(a, start + 50ms) == 100ms));
    BOOST_TEST((schedule.remainingTime(c, start + 50ms) == 200ms));
    BOOST_TEST((schedule.remainingTime(a, start + 150ms) == 0ns));
    schedule.end(start + 150ms);
    schedule.end(start + 150ms);
    BOOST_TEST(schedule.inFlight() == 2U);
    BOOST_TEST((schedule.remainingTime(d, start + 150ms) == 50ms));
}

BOOST_AUTO_TEST_SUITE_END()
