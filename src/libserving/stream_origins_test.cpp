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
    origins.record(stream("1"));
    origins.record(stream("2"));
    BOOST_TEST(origins.find("1")->softwareVersion == "v1");
    BOOST_TEST(origins.find("2") != nullptr);
    BOOST_TEST(origins.find("3") == nullptr);
}

// Guards against memory that grows with each stream.
BOOST_AUTO_TEST_CASE(AreForgottenAfterAMinute)
{
    origins.record(stream("1"));
    clock.advance(61s);
    origins.record(stream("2"));
    BOOST_TEST(origins.find("1") == nullptr);
    for (int i = 0; i < 30'000; ++i)
        origins.record(stream("n" + std::to_string(i)));
    BOOST_TEST(origins.find("2") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()
