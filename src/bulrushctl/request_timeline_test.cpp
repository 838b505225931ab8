#include "request_timeline.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<LogLine> parseLog(const std::string& source, const std::string& text)
{
    std::istringstream input(text);
    return readLog(source, input);
}

std::vector<LogLine> logsOfTwoInstances()
{
    auto out = parseLog("a.log",
        "time=10.500 level=I event=request request=q1 model=m upstream=u1 outcome=no-upstream detail=\"no upstream\"\n"
        "time=3.000 level=W event=dependency-lost dependency=store table=t\n"
        "time=9.000 level=W event=dependency-lost dependency=placement-holder holder=b\n"
        "time=10.400 level=I event=attempt-failed request=q1 upstream=u1 error=\"refused: request=q2 status 421\"\n"
        "time=10.600 level=I event=configuration version=9\n"
        "an unstructured line\n");
    const auto other = parseLog("b.log",
        "time=10.100 level=I event=order kind=unload upstream=u1 model=m answer=accepted\n"
        "time=10.200 level=I event=order kind=load upstream=u2 model=n answer=accepted\n"
        "time=10.300 level=I event=request request=q2 model=m upstream=u2 outcome=served\n");
    out.insert(out.end(), other.begin(), other.end());
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TimelineOfARequest)

// Guards against unsorted lines when the logs of several instances are read one after the other.
BOOST_AUTO_TEST_CASE(SortsRequestLinesByTime)
{
    const auto timeline = buildTimeline("q1", logsOfTwoInstances(), 5s);
    BOOST_REQUIRE(timeline.requestLines.size() == 2u);
    BOOST_TEST(timeline.requestLines[0].field("event") == "attempt-failed");
    BOOST_TEST(timeline.requestLines[1].field("outcome") == "no-upstream");
}

// Guards against state changes that are missing, unrelated or outside the time window.
BOOST_AUTO_TEST_CASE(IncludesRelatedStateChanges)
{
    const auto timeline = buildTimeline("q1", logsOfTwoInstances(), 5s);
    BOOST_REQUIRE(timeline.stateChanges.size() == 2u);
    BOOST_TEST(timeline.stateChanges[0].field("dependency") == "placement-holder");
    BOOST_TEST(timeline.stateChanges[1].field("kind") == "unload");
    BOOST_TEST(timeline.stateChanges[1].source == "b.log");
}

// Guards against matching a request id that occurs inside the value of another field.
BOOST_AUTO_TEST_CASE(ExcludesOtherRequests)
{
    const auto timeline = buildTimeline("q2", logsOfTwoInstances(), 5s);
    BOOST_TEST(timeline.requestLines.size() == 1u);
}

BOOST_AUTO_TEST_CASE(ReportsAnUnknownRequestId)
{
    BOOST_TEST(formatTimeline(buildTimeline("q7", logsOfTwoInstances(), 5s)) == "no log line names the request\n");
}

BOOST_AUTO_TEST_CASE(PrintsTimesRelativeToTheFirstRequestLine)
{
    const auto text = formatTimeline(buildTimeline("q1", logsOfTwoInstances(), 5s));
    BOOST_TEST(text.find("-0.300 s  b.log  event=order") != std::string::npos);
    BOOST_TEST(text.find("+0.100 s  a.log  event=request") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE(DamagedLogLines)

// Guards against a crash on a log that was truncated in the middle of a line.
BOOST_AUTO_TEST_CASE(AreSkippedOrReadToTheirEnd)
{
    for (const auto* text : { "", "=", "time", "time=", "time=x event=a", "time=1", "time=1 event=", "\"", "a=\"b" })
        BOOST_TEST(!parseLogLine("a", text));
    const auto line = parseLogLine("a", "time=1.5 event=x error=\"cut off");
    BOOST_REQUIRE(line);
    BOOST_TEST(line->field("error") == "cut off");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
