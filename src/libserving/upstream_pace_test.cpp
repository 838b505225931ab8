#include "bulrushstack/serving/upstream_pace.h"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct PaceFixture {
    ManualClock clock;
    UpstreamPace pace { clock };
    std::mt19937 random { 7 };

    /// Plays streams at four upstreams, of which "slow" takes twice as long; each twentieth event waits for a prompt.
    void playStreams(unsigned events)
    {
        static const std::string names[] = { "a", "b", "c", "slow" };
        for (unsigned i = 0; i < events; ++i) {
            for (const auto& it : names) {
                const double factor = it == "slow" ? 2 : 1;
                const double noise = std::uniform_real_distribution<double>(0.7, 1.5)(random);
                const double stall = random() % 20 == 0 ? 250 : 0;
                pace.recordEventGap(
                    it, 1, "tosca", std::chrono::microseconds(static_cast<long>(1000 * factor * (30 * noise + stall))));
            }
            clock.advance(30ms);
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ThePaceOfUpstreams, PaceFixture)

BOOST_AUTO_TEST_SUITE(ThatStateNoSpeed)

// Guards against a change for deployments whose upstreams do not share their machines.
BOOST_AUTO_TEST_CASE(IsTheUsualOne)
{
    playStreams(200);
    BOOST_TEST(!pace.isActive());
    BOOST_TEST(pace.slowdown("slow", 1) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatStateTheirSpeed)

// Guards against long prompts on slow upstreams because all seem equally fast.
BOOST_AUTO_TEST_CASE(IsLearntFromTheEventsOfStreams)
{
    pace.recordStated("a", 1, 1);
    playStreams(200);
    BOOST_TEST(pace.slowdown("slow", 1) > 1.6);
    BOOST_TEST(pace.slowdown("slow", 1) < 2.6);
    BOOST_TEST(pace.slowdown("a", 1) < 1.3);
    BOOST_TEST(pace.slowdown("a", 1) > 0.7);
}

// Guards against an estimate that outlives the process it was learnt from, or the reason for it.
BOOST_AUTO_TEST_CASE(IsForgottenWithTheProcessAndWithTime)
{
    pace.recordStated("a", 1, 1);
    playStreams(200);
    BOOST_TEST(pace.slowdown("slow", 2) == 1);
    clock.advance(25s);
    pace.recordStated("a", 1, 1);
    clock.advance(25s);
    pace.recordStated("a", 1, 1);
    BOOST_TEST(pace.slowdown("slow", 1) < 1.25);
}

// Guards against requests to an upstream whose machine is busy with other work right now.
BOOST_AUTO_TEST_CASE(FollowsAStatementWhileItIsFresh)
{
    for (int i = 0; i < 50; ++i)
        pace.recordStated("a", 1, 1);
    pace.recordStated("a", 1, 3);
    BOOST_TEST(pace.slowdown("a", 1) > 2);
    clock.advance(1s);
    BOOST_TEST(pace.slowdown("a", 1) < 1.1);
}

// Guards against a constant statement that counts twice, beside what was learnt.
BOOST_AUTO_TEST_CASE(CountsAConstantStatementOnce)
{
    for (int i = 0; i < 50; ++i)
        pace.recordStated("slow", 1, 2);
    playStreams(200);
    pace.recordStated("slow", 1, 2);
    BOOST_TEST(pace.slowdown("slow", 1) < 2.6);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
