#include "bulrushstack/serving/background_task_pacing.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Runs of equal duration on one thread, like the planning runs of the placement holder.
struct Fixture {
    BackgroundTaskPacing pacing { .minPause = 150ms, .maxTimeShare = 0.1, .maxPause = 2s };
    ManualClock clock;

    /// Returns the share of the time that the runs take.
    double busyShare(std::chrono::nanoseconds runDuration)
    {
        const auto started = clock.now();
        std::chrono::nanoseconds busy {};
        for (int i = 0; i < 20; ++i) {
            clock.advance(runDuration);
            busy += runDuration;
            clock.advance(pauseAfterRun(pacing, runDuration));
        }
        return std::chrono::duration<double>(busy) / std::chrono::duration<double>(clock.now() - started);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABackgroundTaskOnTheServingThread, Fixture)

BOOST_AUTO_TEST_CASE(PausesForTheMinimumWhileRunsAreShort) { BOOST_CHECK(pauseAfterRun(pacing, 1ms) == 150ms); }

// Guards against placement planning for a large fleet that keeps an instance with a small CPU share from reading a new
// configuration.
BOOST_AUTO_TEST_CASE(LeavesMostOfTheTimeToOtherWork)
{
    for (const auto runDuration : { 1ms, 20ms, 100ms, 200ms })
        BOOST_TEST(busyShare(runDuration) <= 0.1 + 1e-9);
}

BOOST_AUTO_TEST_CASE(ContinuesWhenARunTakesVeryLong) { BOOST_CHECK(pauseAfterRun(pacing, 10s) == 2s); }

BOOST_AUTO_TEST_SUITE_END()
