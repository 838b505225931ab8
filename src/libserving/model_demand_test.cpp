#include "bulrushstack/serving/model_demand.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const EngineSpec engine { .slots = 64, .kvCacheTokens = 280'000 };
const ServingRequest longPrompt {
    .prompt = { { .id = "shared", .tokens = 6000 }, { .id = "own", .tokens = 3000 } },
    .promptTokens = 9000,
    .maxOutputTokens = 50,
};
const ServingRequest longOutput { .promptTokens = 600, .maxOutputTokens = 300 };

} // namespace

BOOST_AUTO_TEST_SUITE(TheWorkOfARequest)

BOOST_AUTO_TEST_CASE(GrowsWithThePromptAndThePrefillTimeOfTheModel)
{
    BOOST_TEST(estimateWorkMs(longPrompt, engine, 0.02) > estimateWorkMs(longPrompt, engine, 0.002));
    BOOST_TEST(estimateWorkMs(longPrompt, engine, 0.02) > estimateWorkMs(longOutput, engine, 0.02));
}

// Guards against a fast model that stays at one copy while many long outputs fill its batch.
BOOST_AUTO_TEST_CASE(CountsLongOutputsOfAFastModel)
{
    const double perRequest = estimateWorkMs(longOutput, engine, 0);
    BOOST_TEST(perRequest >= 300 * 10.0 / 64);
}

BOOST_AUTO_TEST_CASE(PrefersTheCallersEstimateOfTheOutput)
{
    auto hinted = longOutput;
    hinted.expectedOutputTokens = 30;
    BOOST_TEST(estimateWorkMs(hinted, engine, 0) < estimateWorkMs(longOutput, engine, 0));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ADemandEstimator)

BOOST_AUTO_TEST_CASE(FollowsADemandThatCeasesWithinSeconds)
{
    ManualClock clock;
    DemandEstimator demand(clock);
    demand.add({ { .service = "s", .model = "m", .requests = 3, .workMs = 600, .unplaced = 1 } });
    BOOST_TEST(demand.workRate("s", "m") > 100);
    BOOST_TEST(demand.unplaced("s", "m") == 1);
    clock.advance(20s);
    BOOST_TEST(demand.workRate("s", "m") < 1);
    BOOST_TEST(demand.workRate("s", "other") == 0);
}

BOOST_AUTO_TEST_CASE(CountsStreamsToBeTakenUpBySoftwareVersion)
{
    ManualClock clock;
    DemandEstimator demand(clock);
    demand.add({ { .service = "s", .model = "m", .unplacedByVersion = { { "v1", 2 } } } });
    demand.add({ { .service = "s", .model = "m", .unplacedByVersion = { { "v1", 1 }, { "v2", 1 } } } });
    BOOST_TEST(demand.unplacedByVersion("s", "m")["v1"] == 3);
    BOOST_TEST(demand.unplacedByVersion("s", "m")["v2"] == 1);
    clock.advance(20s);
    BOOST_TEST(demand.unplacedByVersion("s", "m").empty());
}

BOOST_AUTO_TEST_SUITE_END()
