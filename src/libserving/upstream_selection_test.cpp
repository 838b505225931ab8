#include "bulrushstack/serving/upstream_selection.h"

#include <boost/test/unit_test.hpp>
#include <numeric>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

ServingRequest requestWithSharedPart(std::string shared)
{
    return { .model = "tosca",
        .prompt = { { .id = std::move(shared), .tokens = 6000 }, { .id = "own", .tokens = 1000 } },
        .promptTokens = 7000 };
}

/// Several upstreams, and instances that send requests to them, each with its own view of the loads.
struct Fixture {
    ManualClock clock;
    EngineSpec engine;
    std::vector<UpstreamEntry> upstreams;
    std::vector<UpstreamLoads> instances;

    Fixture()
    {
        for (int i = 0; i < 6; ++i)
            upstreams.push_back({ .id = "u" + std::to_string(i), .zone = "z", .slots = 16 });
        for (int i = 0; i < 3; ++i)
            instances.emplace_back(clock);
    }

    std::vector<const UpstreamEntry*> candidates() const
    {
        std::vector<const UpstreamEntry*> out;
        for (const auto& it : upstreams)
            out.push_back(&it);
        return out;
    }

    std::vector<RankedUpstream> rank(const ServingRequest& request, const UpstreamLoads& loads) const
    {
        const SelectionInput input { .request = request,
            .zone = "z",
            .engine = request.model.empty() ? nullptr : &engine,
            .latencyObjective = 500ms,
            .prefillMsPerToken = 0.02 };
        return rankUpstreams(input, candidates(), loads);
    }

    std::string best(const ServingRequest& request, const UpstreamLoads& loads) const
    {
        return rank(request, loads).front().upstream->id;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ASelection, Fixture)

BOOST_AUTO_TEST_SUITE(OnFewHotPrefixes)

// Guards against instances that each fill the prefix cache of a different upstream for the same prompt.
BOOST_AUTO_TEST_CASE(IsTheSameOnAllInstances)
{
    for (int i = 0; i < 20; ++i) {
        const auto request = requestWithSharedPart("part" + std::to_string(i));
        BOOST_TEST(best(request, instances[0]) == best(request, instances[1]));
    }
}

BOOST_AUTO_TEST_CASE(SpreadsDifferentPrefixes)
{
    std::set<std::string> used;
    for (int i = 0; i < 50; ++i)
        used.insert(best(requestWithSharedPart("part" + std::to_string(i)), instances[0]));
    BOOST_TEST(used.size() == upstreams.size());
}

// Guards against requests with a popular prefix that queue on one upstream while others are idle.
BOOST_AUTO_TEST_CASE(SpillsOverWhenReadingThePromptAgainIsFaster)
{
    const auto request = requestWithSharedPart("hot");
    std::map<std::string, int> chosen;
    for (int i = 0; i < 60; ++i) {
        const auto id = best(request, instances[0]);
        instances[0].recordStart(id, { .sent = clock.now(), .prefillTokens = 1000 });
        instances[0].recordPrefix(id, prefixKey(request));
        ++chosen[id];
    }
    BOOST_TEST(chosen.size() > 1u);
    for (const auto& [id, n] : chosen)
        BOOST_TEST(n < 40);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OfPlainServices)

const ServingRequest plain {};

BOOST_AUTO_TEST_CASE(PrefersTheLeastLoaded)
{
    for (int i = 0; i < 5; ++i)
        instances[0].recordStart("u" + std::to_string(i), {});
    BOOST_TEST(best(plain, instances[0]) == "u5");
}

BOOST_AUTO_TEST_CASE(UsesAReportedLoadWhileItIsRecent)
{
    for (int i = 0; i < 5; ++i)
        instances[0].recordFirstResponse("u" + std::to_string(i), {}, ReportedLoad { .running = 16, .waiting = 9 });
    BOOST_TEST(best(plain, instances[0]) == "u5");
    BOOST_TEST(instances[0].estimatedRequests("u0") > 20);
    clock.advance(20s);
    BOOST_TEST(instances[0].estimatedRequests("u0") < 1);
}

// Guards against preferring a failing upstream because its fast failures make it look idle.
BOOST_AUTO_TEST_CASE(AvoidsAnUpstreamThatFails)
{
    for (int round = 0; round < 3; ++round) {
        instances[0].recordStart("u0", {});
        instances[0].recordEnd("u0", {}, false, AttemptOutcome::Failed);
    }
    const auto startRequestsElsewhere = [&] {
        for (int i = 1; i < 6; ++i)
            instances[0].recordStart("u" + std::to_string(i), { .sent = clock.now() });
    };
    startRequestsElsewhere();
    BOOST_TEST(rank(plain, instances[0]).back().upstream->id == "u0");
    for (int i = 1; i < 6; ++i)
        instances[0].recordEnd("u" + std::to_string(i), { .sent = clock.now() }, false, AttemptOutcome::Served);
    clock.advance(30s);
    startRequestsElsewhere();
    BOOST_TEST(rank(plain, instances[0]).front().upstream->id == "u0");
}

// Guards against having no candidate at all when every upstream has refused a request.
BOOST_AUTO_TEST_CASE(KeepsRefusedUpstreamsAsTheLastChoice)
{
    for (const auto& it : upstreams) {
        instances[0].recordStart(it.id, {});
        instances[0].recordEnd(it.id, {}, false, AttemptOutcome::Refused);
    }
    BOOST_TEST(rank(plain, instances[0]).size() == upstreams.size());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
