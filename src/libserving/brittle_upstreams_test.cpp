#include "bulrushstack/serving/brittle_upstreams.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    UpstreamDirectory directory { clock };
    UpstreamLoads loads { clock };

    Fixture()
    {
        clock.advance(1s);
        directory.apply({ .id = "u", .service = "s", .slots = 2, .startedAt = 1 });
    }

    void send() { loads.recordStart("u", { .sent = clock.now() }); }
    bool isFull(unsigned instances = 1) const
    {
        return isBrittleAndFull(*directory.find("u"), directory, loads, instances);
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ABrittleUpstream, Fixture)

// Guards against an upstream that fails because it has to refuse too many requests.
BOOST_AUTO_TEST_CASE(IsFullWhenItsSlotsAreTaken)
{
    directory.recordRefusalLimit("u", 3.0, clock.now());
    send();
    BOOST_TEST(!isFull());
    send();
    BOOST_TEST(isFull());
}

// Guards against instances that take the same free slots at the same moment.
BOOST_AUTO_TEST_CASE(IsFullForAnInstanceThatUsesItsShareOfTheSlots)
{
    directory.recordRefusalLimit("u", 3.0, clock.now());
    send();
    BOOST_TEST(isFull(2));
    BOOST_TEST(!isFull(1));
}

BOOST_AUTO_TEST_CASE(IsFullByTheLoadThatItReports)
{
    directory.recordRefusalLimit("u", 3.0, clock.now());
    loads.recordReport("u", { .running = 2, .waiting = 1, .slots = 2 });
    BOOST_TEST(isFull());
    clock.advance(10s);
    BOOST_TEST(!isFull());
}

BOOST_AUTO_TEST_CASE(MayQueueRequestsOnceItIsNoLongerBrittle)
{
    directory.recordRefusalLimit("u", 3.0, clock.now());
    send();
    send();
    clock.advance(1s);
    directory.recordRefusalLimit("u", std::nullopt, clock.now());
    BOOST_TEST(!isFull());
}

// Guards against an instance that has no response of one of the upstreams yet.
BOOST_AUTO_TEST_CASE(IsKnownByTheOthersOfItsService)
{
    directory.apply({ .id = "v", .service = "s", .slots = 2 });
    directory.recordRefusalLimit("v", 3.0, clock.now());
    send();
    send();
    BOOST_TEST(isFull());
    clock.advance(1s);
    directory.recordRefusalLimit("u", std::nullopt, clock.now());
    BOOST_TEST(isFull());
    directory.recordRefusalLimit("v", std::nullopt, clock.now());
    BOOST_TEST(!isFull());
}

BOOST_AUTO_TEST_CASE(IsForgottenWithoutFurtherResponses)
{
    directory.recordRefusalLimit("u", 3.0, clock.now());
    clock.advance(31s);
    BOOST_TEST(!directory.refusalLimit("s").has_value());
}

BOOST_AUTO_TEST_CASE(IsLeftAloneForLongerTheFewerRefusalsItStands)
{
    BOOST_TEST(pauseAfterRefusal(1, 0).count() == 1000);
    BOOST_TEST(pauseAfterRefusal(1, 0.5).count() == 1500);
    BOOST_TEST(pauseAfterRefusal(100, 0).count() == 300);
    BOOST_TEST(pauseAfterRefusal(0, 0).count() == 4000);
}

BOOST_AUTO_TEST_SUITE_END()
