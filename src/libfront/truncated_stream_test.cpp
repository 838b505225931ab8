#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string partOfSecondEvent = "id: 2\nda";

} // namespace

BOOST_FIXTURE_TEST_SUITE(TruncatedStreams, FrontFixture)

BOOST_AUTO_TEST_SUITE(BodyEndsWithItsConnection)

BOOST_AUTO_TEST_CASE(IsCompleteAfterAWholeEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + secondEvent }, true);
    BOOST_TEST(call("/events/x")->body == firstEvent + secondEvent);
}

// Guards against a stream that is truncated inside an event and that its caller receives as complete.
BOOST_AUTO_TEST_CASE(IsCutInsideAnEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + partOfSecondEvent }, true);
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against an empty stream that looks complete because its upstream crashed before the first event.
BOOST_AUTO_TEST_CASE(IsAFailureWithoutAnyEvent)
{
    addUpstream({ closeDelimitedStreamHead }, true);
    BOOST_TEST(call("/events/x")->status == 502u);
}

// Guards against a lost rest of a stream that another upstream could have continued.
BOOST_AUTO_TEST_CASE(IsResumedOnAnotherUpstreamAfterACutInsideAnEvent)
{
    addUpstream({ closeDelimitedStreamHead + firstEvent + partOfSecondEvent }, true);
    addUpstream({ closeDelimitedStreamHead + secondEvent }, true);
    BOOST_TEST(call("/resumable/x")->body == firstEvent + secondEvent);
    BOOST_REQUIRE(!upstreams[1]->received().empty());
    BOOST_TEST(upstreams[1]->received().front().find("X-After: 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BodyIsChunked)

// Guards against trust in the last chunk of an upstream that stopped inside an event.
BOOST_AUTO_TEST_CASE(IsCutInsideAnEvent)
{
    addUpstream({ streamResponseHead + chunk(firstEvent) + chunk(partOfSecondEvent) + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x").has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
