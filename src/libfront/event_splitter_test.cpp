#include "event_splitter.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

BOOST_AUTO_TEST_SUITE(EventSplitterTests)

// Guards against a partial event that reaches the client and is sent again by the upstream that resumes the stream.
BOOST_AUTO_TEST_CASE(ReturnsOnlyCompleteEvents)
{
    EventSplitter events;
    BOOST_TEST(events.extractEvents("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    BOOST_TEST(events.lastEventId().value() == "1");
    BOOST_TEST(events.extractEvents("ta: b\n") == "");
    BOOST_TEST(events.extractEvents("\n") == "id: 2\ndata: b\n\n");
    BOOST_TEST(events.lastEventId().value() == "2");
    BOOST_TEST(events.eventCount() == 2u);
}

BOOST_AUTO_TEST_CASE(PreservesBytes)
{
    EventSplitter events;
    const std::string text = ":comment\r\n\r\nid:7\r\ndata: x\r\n\r\n";
    BOOST_TEST(events.extractEvents(text) == text);
    BOOST_TEST(events.lastEventId().value() == "7");
}

BOOST_AUTO_TEST_CASE(DropsAPartialEvent)
{
    EventSplitter events;
    events.extractEvents("id: 1\n\nid: 2\ndata");
    events.dropPartialEvent();
    BOOST_TEST(events.extractEvents("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

// Guards against an incomplete last event that counts as received and is not requested again.
BOOST_AUTO_TEST_CASE(DoesNotCountAPartialEvent)
{
    EventSplitter events;
    BOOST_TEST(events.extractEvents("id: 1\n\nid: 2\n") == "id: 1\n\n");
    BOOST_TEST(events.pendingBytes() == 6u);
    BOOST_TEST(events.lastEventId().value() == "1");
    BOOST_TEST(events.eventCount() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
