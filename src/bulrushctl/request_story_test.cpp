#include "request_story.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

std::vector<LogLine> read(const std::string& source, const std::string& text)
{
    std::istringstream input(text);
    return readLog(source, input);
}

std::vector<LogLine> twoInstances()
{
    auto out = read("a.log",
        "time=10.500 level=I event=request request=q1 model=m upstream=u1 outcome=no-upstream detail=\"no upstream\"\n"
        "time=3.000 level=W event=dependency-lost dependency=store table=t\n"
        "time=9.000 level=W event=dependency-lost dependency=placement-holder holder=b\n"
        "time=10.400 level=I event=attempt-failed request=q1 upstream=u1 error=\"refused: request=q2 status 421\"\n"
        "time=10.600 level=I event=configuration version=9\n"
        "a line of another form\n");
    const auto other = read("b.log",
        "time=10.100 level=I event=order kind=unload upstream=u1 model=m answer=accepted\n"
        "time=10.200 level=I event=order kind=load upstream=u2 model=n answer=accepted\n"
        "time=10.300 level=I event=request request=q2 model=m upstream=u2 outcome=served\n");
    out.insert(out.end(), other.begin(), other.end());
    return out;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TheStoryOfARequest)

// Guards against decisions out of order when the logs of several instances are read one after the other.
BOOST_AUTO_TEST_CASE(HasItsDecisionsInOrder)
{
    const auto story = findStory("q1", twoInstances(), 5s);
    BOOST_REQUIRE(story.decisions.size() == 2u);
    BOOST_TEST(story.decisions[0].field("event") == "attempt-failed");
    BOOST_TEST(story.decisions[1].field("outcome") == "no-upstream");
}

BOOST_AUTO_TEST_CASE(HasTheChangesThatConcernIt)
{
    const auto story = findStory("q1", twoInstances(), 5s);
    BOOST_REQUIRE(story.beliefs.size() == 2u);
    BOOST_TEST(story.beliefs[0].field("dependency") == "placement-holder");
    BOOST_TEST(story.beliefs[1].field("kind") == "unload");
    BOOST_TEST(story.beliefs[1].source == "b.log");
}

// Guards against a request id inside another field that is taken for the line's own.
BOOST_AUTO_TEST_CASE(LeavesOutOtherRequests)
{
    const auto story = findStory("q2", twoInstances(), 5s);
    BOOST_TEST(story.decisions.size() == 1u);
}

BOOST_AUTO_TEST_CASE(SaysWhenNoLineNamesTheRequest)
{
    BOOST_TEST(formatStory(findStory("q7", twoInstances(), 5s)) == "no line names the request\n");
}

BOOST_AUTO_TEST_CASE(IsTimedFromTheFirstDecision)
{
    const auto text = formatStory(findStory("q1", twoInstances(), 5s));
    BOOST_TEST(text.find("-0.300 s  b.log  event=order") != std::string::npos);
    BOOST_TEST(text.find("+0.100 s  a.log  event=request") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE(FromDamagedLines)

// Guards against a crash on a log that was cut in the middle of a line.
BOOST_AUTO_TEST_CASE(LeavesThemOut)
{
    for (const auto* text : { "", "=", "time", "time=", "time=x event=a", "time=1", "time=1 event=", "\"", "a=\"b" })
        BOOST_TEST(!parseLogLine("a", text));
    const auto line = parseLogLine("a", "time=1.5 event=x error=\"cut off");
    BOOST_REQUIRE(line);
    BOOST_TEST(line->field("error") == "cut off");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
