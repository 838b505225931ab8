#include "schedule.h"

#include "test_experiment.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

using namespace bulrushstack;
using namespace bulrushstack::load;
using namespace std::chrono_literals;

namespace {

std::size_t countOf(const std::vector<PlannedRequest>& planned, auto predicate)
{
    return static_cast<std::size_t>(std::count_if(planned.begin(), planned.end(), predicate));
}

} // namespace

BOOST_AUTO_TEST_SUITE(Schedules)

// Guards against schedules that are not reproducible from the seed.
BOOST_AUTO_TEST_CASE(DependOnTheSeedOnly)
{
    auto experiment = parseExperiment(experimentDocument());
    const auto planned = planRequests(experiment);
    BOOST_TEST((planned == planRequests(experiment)));
    experiment.seed = 8;
    BOOST_TEST((planned != planRequests(experiment)));
}

BOOST_AUTO_TEST_CASE(FollowRatesAndWeights)
{
    auto experiment = parseExperiment(experimentDocument());
    experiment.phases[0].duration = 500s;
    const auto planned = planRequests(experiment);
    BOOST_TEST(std::is_sorted(planned.begin(), planned.end(),
        [](const PlannedRequest& a, const PlannedRequest& b) { return a.offset < b.offset; }));
    std::set<std::uint64_t> numbers;
    std::size_t calm = 0;
    for (const auto& it : planned) {
        if (numbers.insert(it.number).second && it.phase == 0)
            ++calm;
    }
    // 10000 Poisson arrivals are expected, with a standard deviation of 100.
    BOOST_TEST(calm > 9500U);
    BOOST_TEST(calm < 10500U);
    const auto all = static_cast<double>(planned.size());
    const auto chats = countOf(planned, [](const PlannedRequest& it) { return it.request == 0; });
    BOOST_TEST(static_cast<double>(chats) / all > 0.35);
    BOOST_TEST(static_cast<double>(chats) / all < 0.42);
    const auto firstTeam = countOf(planned, [](const PlannedRequest& it) { return it.team == 0; });
    BOOST_TEST(static_cast<double>(firstTeam) / all > 0.72);
    BOOST_TEST(static_cast<double>(firstTeam) / all < 0.78);
}

BOOST_AUTO_TEST_CASE(RepeatPhasesAndRequests)
{
    auto experiment = parseExperiment(experimentDocument());
    experiment.phases.erase(experiment.phases.begin());
    experiment.repeats = 3;
    experiment.requests[3].repeatProbability = 1;
    const auto planned = planRequests(experiment);
    BOOST_TEST(planned.back().round == 2U);
    BOOST_TEST((planned.back().offset > 14s));
    std::multiset<std::uint64_t> numbers;
    for (const auto& it : planned)
        numbers.insert(it.number);
    // 100 uniform arrivals per second for 5 s give at least 499, because the 500th falls on the end of the phase.
    BOOST_TEST(std::set<std::uint64_t>(numbers.begin(), numbers.end()).size() >= 3 * 499U);
    for (const auto& it : planned)
        BOOST_REQUIRE(numbers.count(it.number) == (it.request == 3 ? 2U : 1U));
}

// Guards against reuse of a prompt by another team, which would hide leaks between the prefix caches of teams.
BOOST_AUTO_TEST_CASE(ReusePromptsWithinATeamOnly)
{
    const auto planned = planRequests(parseExperiment(experimentDocument()));
    std::map<std::uint64_t, std::uint32_t> teamOfPrompt;
    std::size_t reused = 0;
    for (const auto& it : planned) {
        const auto [entry, isNew] = teamOfPrompt.emplace(it.prompt, it.team);
        BOOST_REQUIRE(entry->second == it.team);
        reused += !isNew && it.request == 0 ? 1 : 0;
    }
    BOOST_TEST(reused > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
