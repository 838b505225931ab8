#include "bulrushstack/serving/stream_origins.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

StreamOrigin stream(std::string request) { return { std::move(request), "s", "v1" }; }

struct Fixture {
    ManualClock clock;
    StreamOrigins origins { clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(OriginsOfStreams, Fixture)

BOOST_AUTO_TEST_CASE(AreFoundByTheRequestOfTheFirstEvent)
{
    origins.recordOwn(stream("1"));
    origins.merge({ stream("2") });
    BOOST_TEST(origins.find("1")->softwareVersion == "v1");
    BOOST_TEST(origins.find("2") != nullptr);
    BOOST_TEST(origins.find("3") == nullptr);
}

// Guards against memory that grows with each stream.
BOOST_AUTO_TEST_CASE(AreForgottenAfterAMinute)
{
    origins.recordOwn(stream("1"));
    clock.advance(61s);
    origins.recordOwn(stream("2"));
    BOOST_TEST(origins.find("1") == nullptr);
    for (int i = 0; i < 30'000; ++i)
        origins.recordOwn(stream("n" + std::to_string(i)));
    BOOST_TEST(origins.find("2") == nullptr);
}

BOOST_AUTO_TEST_SUITE(AreReported)

// Guards against streams that are reported twice, or by an instance at which they did not begin.
BOOST_AUTO_TEST_CASE(FromATimeOnAndOnlyByTheirInstance)
{
    origins.recordOwn(stream("1"));
    const auto since = clock.now();
    clock.advance(1ms);
    origins.recordOwn(stream("2"));
    origins.merge({ stream("3") });
    BOOST_REQUIRE(origins.ownSince(since).size() == 1u);
    BOOST_TEST(origins.ownSince(since).front().request == "2");
    BOOST_TEST(origins.ownSince({}).size() == 2u);
}

BOOST_AUTO_TEST_CASE(UpToALimit)
{
    for (int i = 0; i < 3'000; ++i)
        origins.recordOwn(stream("n" + std::to_string(i)));
    BOOST_TEST(origins.ownSince({}).size() == StreamOrigins::maxReportedStreams);
    BOOST_TEST(origins.ownSince({}).front().request == "n2999");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
