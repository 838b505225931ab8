#include "event_splitter.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(AnEventSplitter)

// Guards against a part of an event that reaches the caller and is then repeated by the upstream that continues.
BOOST_AUTO_TEST_CASE(ReturnsOnlyWholeEvents)
{
    EventSplitter events;
    BOOST_TEST(events.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(events.lastId().value() == "1");
    BOOST_TEST(events.take("ta: b\n") == "");
    BOOST_TEST(events.take("\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(events.lastId().value() == "2");
    BOOST_TEST(events.count() == 2u);
}

BOOST_AUTO_TEST_CASE(KeepsTheBytesAsTheyAre)
{
    EventSplitter events;
    const std::string text = ":comment\r\n\r\nid:7\r\ndata: x\r\n\r\n";
    BOOST_TEST(events.take(text) == text);
    BOOST_TEST(events.lastId().value() == "7");
}

BOOST_AUTO_TEST_CASE(DropsWhatWasCutOff)
{
    EventSplitter events;
    events.take("id: 1\n\nid: 2\ndata");
    events.dropPartialEvent();
    BOOST_TEST(events.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

BOOST_AUTO_TEST_CASE(ReturnsTheRestAtAnOrderlyEnd)
{
    EventSplitter events;
    events.take("id: 1\n\nid: 2");
    BOOST_TEST(events.takeRest() == "id: 2");
    BOOST_TEST(events.lastId().value() == "2");
}

BOOST_AUTO_TEST_SUITE_END()
