#include "bulrushstack/serving/duty_pacing.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Rounds of one length on one thread, as the placement holder runs them.
struct Fixture {
    DutyPacing pacing { .interval = 150ms, .share = 0.1, .longestPause = 2s };
    ManualClock clock;

    /// Returns the share of the time that the rounds take.
    double shareOfRounds(std::chrono::nanoseconds round)
    {
        const auto started = clock.now();
        std::chrono::nanoseconds busy {};
        for (int i = 0; i < 20; ++i) {
            clock.advance(round);
            busy += round;
            clock.advance(pauseAfterRound(pacing, round));
        }
        return std::chrono::duration<double>(busy) / std::chrono::duration<double>(clock.now() - started);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ADutyOnTheServingThread, Fixture)

BOOST_AUTO_TEST_CASE(RunsAtItsIntervalWhileRoundsAreShort) { BOOST_CHECK(pauseAfterRound(pacing, 1ms) == 150ms); }

// Guards against planning for a large fleet that keeps a small instance from reading a new configuration.
BOOST_AUTO_TEST_CASE(LeavesMostOfTheTimeToRequestsAndFollowers)
{
    for (const auto round : { 1ms, 20ms, 100ms, 200ms })
        BOOST_TEST(shareOfRounds(round) <= 0.1 + 1e-9);
}

BOOST_AUTO_TEST_CASE(GoesOnWhenARoundTakesVeryLong) { BOOST_CHECK(pauseAfterRound(pacing, 10s) == 2s); }

BOOST_AUTO_TEST_SUITE_END()
