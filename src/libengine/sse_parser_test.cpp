#include "sse_parser.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace bulrushstack;

namespace {

/// Feeds the parts to a parser and returns all events. Fails the test if the parser reports an error.
std::vector<SseEvent> parse(const std::vector<std::string>& parts)
{
    SseParser parser;
    std::vector<SseEvent> out;
    for (const auto& part : parts) {
        parser.feed(part);
        for (;;) {
            auto event = parser.next();
            BOOST_REQUIRE(event);
            if (!*event)
                break;
            out.push_back(std::move(**event));
        }
    }
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(EventStreamParser)

BOOST_AUTO_TEST_SUITE(Fields)

// Guards against losing the id, type or data of an event.
BOOST_AUTO_TEST_CASE(FieldsFormAnEvent)
{
    const auto events = parse({ "id: 7\nevent: error\ndata: {\"a\":1}\n\n" });
    BOOST_REQUIRE(events.size() == 1);
    BOOST_TEST((events[0] == SseEvent { .id = "7", .event = "error", .data = "{\"a\":1}" }));
}

// Guards against hiding a missing offset: an event without id must not inherit the id of the previous event.
BOOST_AUTO_TEST_CASE(FieldsAreNotInheritedByTheNextEvent)
{
    const auto events = parse({ "id: 1\nevent: x\ndata: a\n\ndata: b\n\n" });
    BOOST_REQUIRE(events.size() == 2);
    BOOST_TEST((events[1] == SseEvent { .data = "b" }));
}

// Guards against dropping data lines of an event or joining them without a separator.
BOOST_AUTO_TEST_CASE(DataFieldsAreJoinedByLineFeeds)
{
    const auto events = parse({ "data: one\ndata:two\ndata\ndata:  four\n\n" });
    BOOST_REQUIRE(events.size() == 1);
    BOOST_TEST(events[0].data == "one\ntwo\n\n four");
}

// Guards against returning keep-alive comments as events or ending the event that they occur in.
BOOST_AUTO_TEST_CASE(CommentsAndUnknownFieldsAreIgnored)
{
    const auto events = parse({ ": keep-alive\n\n:\nid: 3\n: inside\nretry: 10\nother\ndata: x\n\n\n\n" });
    BOOST_REQUIRE(events.size() == 1);
    BOOST_TEST((events[0] == SseEvent { .id = "3", .data = "x" }));
}

// Guards against ignoring an error event that has no data.
BOOST_AUTO_TEST_CASE(EventTypeAloneFormsAnEvent)
{
    const auto events = parse({ "event: error\n\n" });
    BOOST_REQUIRE(events.size() == 1);
    BOOST_TEST(events[0].event == "error");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Input)

// Guards against results that depend on how the network splits the stream, in particular between CR and LF.
BOOST_AUTO_TEST_CASE(InputMayBeSplitAtAnyByte)
{
    for (const std::string eol : { "\n", "\r\n", "\r" }) {
        const auto text = ": c" + eol + "id: 0" + eol + "data: a" + eol + "data: b" + eol + eol + "id: 1" + eol
            + "data: c" + eol + eol + "data: [DONE]" + eol + eol + ":" + eol;
        const auto whole = parse({ text });
        BOOST_REQUIRE(whole.size() == 3);
        BOOST_TEST(whole[0].data == "a\nb");
        for (std::size_t i = 0; i <= text.size(); ++i)
            BOOST_TEST((parse({ text.substr(0, i), text.substr(i) }) == whole), "split at " << i);
        std::vector<std::string> bytes;
        for (char c : text)
            bytes.emplace_back(1, c);
        BOOST_TEST((parse(bytes) == whole));
    }
}

// Guards against returning a truncated event as complete.
BOOST_AUTO_TEST_CASE(UnterminatedEventIsNotReturned)
{
    BOOST_TEST(parse({ "id: 0\ndata: abc" }).empty());
    BOOST_TEST(parse({ "id: 0\ndata: abc\n" }).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Limits)

// Guards against unbounded memory use for an endless line, fed at once or in small parts.
BOOST_AUTO_TEST_CASE(LineLengthIsLimited)
{
    SseParser parser({ .line = 10, .event = 100 });
    parser.feed("0123456789\n\n");
    BOOST_TEST(parser.next().has_value());
    for (int i = 0; i < 10; ++i) {
        parser.feed("x");
        BOOST_TEST(parser.next().has_value());
    }
    parser.feed("x");
    auto event = parser.next();
    BOOST_REQUIRE(event.has_error());
    BOOST_TEST((event.error().code == Errc::TooLarge));
    BOOST_TEST((event.error().verdict == Verdict::MayHaveRun));
}

// Guards against unbounded memory use for an event of many short lines.
BOOST_AUTO_TEST_CASE(EventSizeIsLimited)
{
    SseParser parser({ .line = 20, .event = 8 });
    parser.feed("data: 1234\ndata: 567\n\n");
    BOOST_TEST(parser.next().has_value());
    parser.feed("data: 1234\ndata: 5678\n\n");
    auto event = parser.next();
    BOOST_REQUIRE(event.has_error());
    BOOST_TEST((event.error().code == Errc::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
