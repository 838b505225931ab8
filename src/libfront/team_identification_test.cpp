#include "front_test_support.h"

namespace bulrushstack {

namespace {

/// A front whose callers identify themselves with keys, except on the route /open/.
struct TeamFixture : FrontFixture {
    TeamFixture() { configureTeams(2, { "z1" }); }

    void configureTeams(std::uint64_t version, std::vector<std::string> keys, std::optional<QuotaSpec> quota = {})
    {
        auto open = route("/open/", CallKind::Idempotent, 2);
        open.isPublic = true;
        auto teams = TeamDirectory::create({ { .name = "zagreb", .keys = std::move(keys), .quota = quota } });
        BOOST_REQUIRE(teams);
        state.updateConfiguration(std::make_shared<ServingConfiguration>(version,
            std::vector<RouteSpec> { route("/once/", CallKind::NonIdempotent, 1), std::move(open) },
            std::vector<ServiceSpec> { { .name = "s" } }, RequestLimits(), std::move(*teams)));
    }

    unsigned statusWithKey(const std::string& target, const std::string& key)
    {
        HttpHeaders headers { { "X-Id", "7" } };
        if (!key.empty())
            headers.set("X-Key", key);
        const auto response = callWith(target, headers);
        return response ? response->status : 0;
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TeamIdentificationTest, TeamFixture)

BOOST_AUTO_TEST_SUITE(RequestsOnRoutesWithKeys)

// Guards against requests without a valid key that reach an upstream.
BOOST_AUTO_TEST_CASE(AreRejectedWithoutAValidKey)
{
    auto& upstream = addUpstream({ okResponse });
    BOOST_TEST(statusWithKey("/once/x", "") == 401u);
    BOOST_TEST(statusWithKey("/once/x", "z2") == 401u);
    BOOST_TEST(upstream.received().empty());
}

// Guards against an upstream that does not learn on whose behalf it works.
BOOST_AUTO_TEST_CASE(ReachTheUpstreamInTheNameOfTheTeam)
{
    auto& upstream = addUpstream({ okResponse });
    BOOST_TEST(statusWithKey("/once/x", "z1") == 200u);
    BOOST_REQUIRE(!upstream.received().empty());
    BOOST_TEST(upstream.received().front().find("X-Team: zagreb") != std::string::npos);
}

// Guards against keys that stay valid, on connections that are open, after they were taken away.
BOOST_AUTO_TEST_CASE(FollowTheConfigurationOnAnOpenConnection)
{
    addUpstream({ okResponse, okResponse });
    BOOST_TEST(statusWithKey("/once/x", "z1") == 200u);
    configureTeams(3, { "z2" });
    BOOST_TEST(statusWithKey("/once/x", "z1") == 401u);
    BOOST_TEST(statusWithKey("/once/x", "z2") == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestsOverAQuota)

// Guards against upstreams that get more than a quota permits, and against callers who are not told when to come back.
BOOST_AUTO_TEST_CASE(AreRejectedWithARetryDelay)
{
    auto& upstream = addUpstream({ okResponse });
    configureTeams(3, { "z1" }, QuotaSpec { .ratePerSecond = 5, .burst = 5 });
    quotas.reply = { .retryAfter = std::chrono::milliseconds(400) };
    const auto response = callWith("/once/x", { { "X-Id", "7" }, { "X-Key", "z1" } });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 429u);
    BOOST_TEST(std::stoi(*response->headers.find("X-Retry-Ms")) >= 400);
    BOOST_TEST(upstream.received().empty());
}

// Guards against a team that pays for requests which did not run.
BOOST_AUTO_TEST_CASE(AreChargedOnlyIfTheyMayHaveRun)
{
    configureTeams(3, { "z1" }, QuotaSpec { .ratePerSecond = 5, .burst = 5 });
    BOOST_TEST(statusWithKey("/once/x", "z1") == 503u);
    BOOST_TEST(quotas.granted == 1);
    BOOST_TEST(quotas.givenBack == 1);
    addUpstream({ okResponse });
    BOOST_TEST(statusWithKey("/once/x", "z1") == 200u);
    BOOST_TEST(quotas.granted == 2);
    BOOST_TEST(quotas.givenBack == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RequestsOnPublicRoutes)

// Guards against public routes that need a key.
BOOST_AUTO_TEST_CASE(AreServedWithoutAKey)
{
    auto& upstream = addUpstream({ okResponse, okResponse });
    BOOST_TEST(statusWithKey("/open/x", "") == 200u);
    BOOST_TEST(statusWithKey("/open/x", "z2") == 200u);
    BOOST_REQUIRE(!upstream.received().empty());
    BOOST_TEST(upstream.received().front().find("zagreb") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

} // namespace bulrushstack
