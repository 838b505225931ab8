#include "demand_collector.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

DemandMessage report(const std::string& instance, std::uint32_t requests, std::uint32_t unplaced = 0)
{
    return { .instance = instance,
        .models = { { .service = "s", .model = "m", .requests = requests, .workMs = 10.0, .unplaced = unplaced } },
        .adapters = { { .service = "s", .model = "m", .adapter = "a1" } },
        .unreachable = { "u" },
        .reporters = { { .instance = instance, .zone = "z" } } };
}

} // namespace

BOOST_AUTO_TEST_SUITE(CollectedDemand)

BOOST_AUTO_TEST_CASE(IsTheSumOfTheReports)
{
    DemandCollector collector;
    collector.add(report("b", 3));
    collector.add(report("c", 4));
    auto message = report("a", 1);
    collector.takeInto(message);
    BOOST_TEST(message.instance == "a");
    BOOST_REQUIRE(message.models.size() == 1u);
    BOOST_TEST(message.models.front().requests == 8u);
    BOOST_TEST(message.models.front().workMs == 30.0);
    BOOST_TEST(message.adapters.size() == 1u);
    BOOST_TEST(message.unreachable.size() == 1u);
}

// Guards against demand that is counted again in later messages, or instances that are counted twice because they
// changed their reader.
BOOST_AUTO_TEST_CASE(IsCountedOnce)
{
    DemandCollector collector;
    collector.add(report("b", 3));
    collector.add(report("b", 2));
    auto message = report("a", 0);
    collector.takeInto(message);
    BOOST_TEST(message.models.front().requests == 5u);
    BOOST_REQUIRE(message.reporters.size() == 2u);
    BOOST_TEST(message.reporters.front().instance == "a");
    auto next = DemandMessage { .instance = "a" };
    collector.takeInto(next);
    BOOST_TEST(next.models.empty());
    BOOST_TEST(next.reporters.empty());
}

// Guards against a model that nobody loads for long because the report of its first requests waits at a reader.
BOOST_AUTO_TEST_CASE(IsUrgentWhileAModelIsLoadedNowhere)
{
    DemandCollector collector;
    collector.add(report("b", 3));
    BOOST_TEST(!collector.isUrgent());
    collector.add(report("c", 1, 1));
    BOOST_TEST(collector.isUrgent());
    DemandMessage message { .instance = "a" };
    collector.takeInto(message);
    BOOST_TEST(!collector.isUrgent());
}

BOOST_AUTO_TEST_SUITE_END()
