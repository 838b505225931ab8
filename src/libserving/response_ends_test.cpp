#include "bulrushstack/serving/response_ends.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct ResponseEndsFixture {
    ManualClock clock;
    ResponseEnds ends { clock };
    const UpstreamProcess process { .upstream = "u1", .startedAt = 1 };
    std::vector<ResponseEnds::Scope> responses;

    void begin(std::chrono::milliseconds sinceTheLast)
    {
        clock.advance(sinceTheLast);
        responses.push_back(ends.begin(process));
    }

    void endAll(std::chrono::milliseconds interval)
    {
        for (auto& it : responses) {
            clock.advance(interval);
            it.end();
        }
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResponsesThatEndWithTheirConnections, ResponseEndsFixture)

BOOST_AUTO_TEST_CASE(HaveEndedTogetherIfAllEndInTheSameMoment)
{
    for (int i = 0; i < 3; ++i)
        begin(60ms);
    endAll(1ms);
    BOOST_TEST(ends.haveEndedTogether(process, 3));
    BOOST_TEST(!ends.haveEndedTogether(process, 4));
    BOOST_TEST(!ends.haveEndedTogether({ .upstream = "u1", .startedAt = 2 }, 2));
}

BOOST_AUTO_TEST_CASE(HaveNotIfTheyEndOneByOne)
{
    for (int i = 0; i < 3; ++i)
        begin(60ms);
    endAll(11ms);
    BOOST_TEST(!ends.haveEndedTogether(process, 2));
}

BOOST_AUTO_TEST_CASE(HaveNotIfOneIsLeft)
{
    for (int i = 0; i < 4; ++i)
        begin(60ms);
    auto left = std::move(responses.back());
    responses.pop_back();
    endAll(1ms);
    BOOST_TEST(!ends.haveEndedTogether(process, 3));
}

// Guards against a crash that is overlooked because the next process has begun to work.
BOOST_AUTO_TEST_CASE(HaveEndedTogetherIfOthersBeginAfterThat)
{
    for (int i = 0; i < 3; ++i)
        begin(60ms);
    endAll(1ms);
    begin(1ms);
    BOOST_TEST(ends.haveEndedTogether(process, 3));
}

// Guards against whole responses that are rejected because they were asked for together.
BOOST_AUTO_TEST_CASE(HaveNotIfTheyBeganTogether)
{
    for (int i = 0; i < 3; ++i)
        begin(1ms);
    clock.advance(500ms);
    endAll(1ms);
    BOOST_TEST(!ends.haveEndedTogether(process, 3));
}

BOOST_AUTO_TEST_CASE(DoNotCountIfTheyAreBrokenOffHere)
{
    for (int i = 0; i < 3; ++i)
        begin(60ms);
    responses.erase(responses.begin(), responses.begin() + 2);
    endAll(1ms);
    BOOST_TEST(!ends.haveEndedTogether(process, 2));
}

BOOST_AUTO_TEST_SUITE_END()
