#include "bulrushstack/teams/team_directory.h"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

namespace bulrushstack {

namespace {

std::vector<TeamSpec> twoTeams()
{
    return { { .name = "zagreb", .keys = { "z1", "z2" }, .priority = 0 },
        { .name = "split", .keys = { "s1" }, .quota = QuotaSpec { .ratePerSecond = 5, .burst = 5 } } };
}

std::string errorOf(std::vector<TeamSpec> teams)
{
    const auto out = TeamDirectory::create(std::move(teams));
    return out ? "" : out.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TeamDirectoryTest)

BOOST_AUTO_TEST_SUITE(Identification)

// Guards against a request that is charged to, or forwarded in the name of, another team.
BOOST_AUTO_TEST_CASE(EachKeyNamesTheTeamThatHoldsIt)
{
    const auto directory = TeamDirectory::create(twoTeams());
    BOOST_REQUIRE(directory);
    BOOST_TEST((*directory)->findByKey("z2")->name == "zagreb");
    BOOST_TEST((*directory)->findByKey("s1")->name == "split");
    BOOST_TEST((*directory)->find("split")->quota->burst == 5);
}

// Guards against requests without a valid key that are served.
BOOST_AUTO_TEST_CASE(UnknownAndEmptyKeysNameNoTeam)
{
    const auto directory = TeamDirectory::create(twoTeams());
    BOOST_REQUIRE(directory);
    BOOST_TEST((*directory)->findByKey("s2") == nullptr);
    BOOST_TEST((*directory)->findByKey("") == nullptr);
    BOOST_TEST((*directory)->find("z1") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RejectedTeams)

// Guards against a configuration under which a key is ambiguous.
BOOST_AUTO_TEST_CASE(OneKeyOfTwoTeams)
{
    auto teams = twoTeams();
    teams[1].keys.push_back("z1");
    BOOST_TEST(errorOf(teams) == "team 'split': team 'zagreb' holds the same key");
}

// Guards against a key that every request without a key would match.
BOOST_AUTO_TEST_CASE(EmptyKey)
{
    auto teams = twoTeams();
    teams[0].keys.push_back("");
    BOOST_TEST(errorOf(teams) == "team 'zagreb': a key is empty");
}

BOOST_AUTO_TEST_CASE(RepeatedOrEmptyName)
{
    auto teams = twoTeams();
    teams[1].name = "zagreb";
    BOOST_TEST(errorOf(teams) == "team 'zagreb': another team has the same name");
    teams[1].name = "";
    BOOST_TEST(errorOf(teams) == "team '': the name is empty");
}

// Guards against a quota that can never refill, or that is never exhausted.
BOOST_AUTO_TEST_CASE(RatesThatAreNoRates)
{
    for (const double rate : { -1.0, std::numeric_limits<double>::infinity(), std::nan("") }) {
        auto teams = twoTeams();
        teams[1].quota->ratePerSecond = rate;
        BOOST_TEST(errorOf(teams) == "team 'split': the quota is not a non-negative number");
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace bulrushstack
