#include "bulrushstack/serving/upstream_loads.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct LoadFixture {
    ManualClock clock;
    UpstreamLoads loads { clock };

    UpstreamLoads::RequestScope send() { return loads.begin("u", { .sent = clock.now(), .prefillTokens = 100 }); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ARequestAtAnUpstream, LoadFixture)

BOOST_AUTO_TEST_CASE(CountsUntilItsScopeEnds)
{
    {
        const auto request = send();
        BOOST_TEST(loads.inFlight("u") == 1u);
        BOOST_TEST(loads.prefillBacklog("u") == 100);
    }
    BOOST_TEST(loads.inFlight("u") == 0u);
    BOOST_TEST(loads.prefillBacklog("u") == 0);
}

BOOST_AUTO_TEST_CASE(IsNotLateOnceItWasReleased)
{
    auto request = send();
    request.release();
    clock.advance(5s);
    BOOST_TEST(loads.queueingDelay("u", 0).count() == 0);
    loads.recordOutcome(request, AttemptOutcome::Failed);
    BOOST_TEST(loads.inFlight("u") == 0u);
    BOOST_TEST(loads.failureShare("u") > 0);
}

BOOST_AUTO_TEST_SUITE(WhoseEndIsNeverRecorded)

// Guards against an upstream that looks overloaded until its instance is restarted.
BOOST_AUTO_TEST_CASE(IsDroppedAfterSomeTime)
{
    const auto stuck = send();
    clock.advance(10s);
    const auto recent = send();
    BOOST_TEST(loads.dropStuck(10s) == 0u);
    clock.advance(1ms);
    BOOST_TEST(loads.dropStuck(10s) == 1u);
    BOOST_TEST(loads.inFlight("u") == 1u);
    BOOST_TEST(loads.queueingDelay("u", 0) == 1ms);
}

// Guards against load that is subtracted twice.
BOOST_AUTO_TEST_CASE(MayStillEndAfterThat)
{
    auto stuck = send();
    const auto recent = send();
    clock.advance(1s);
    BOOST_TEST(loads.dropStuck(500ms) == 2u);
    loads.recordFirstResponse(stuck, std::nullopt);
    loads.recordOutcome(stuck, AttemptOutcome::Served);
    BOOST_TEST(loads.inFlight("u") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
