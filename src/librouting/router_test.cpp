#include "bulrushstack/routing/router.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;

namespace {

UpstreamView engine(std::string id, std::string zone = "z1")
{
    UpstreamView view;
    view.record = { .id = std::move(id), .role = InstanceRole::Engine, .zone = std::move(zone) };
    view.resident = { { .model = "m", .version = "1", .state = ResidentState::Ready } };
    view.load = LoadReport { .tokensPerSecond = 1000 };
    return view;
}

UpstreamView service(std::string id, std::string name)
{
    UpstreamView view;
    view.record = { .id = std::move(id), .role = InstanceRole::Service, .service = std::move(name), .zone = "z1" };
    return view;
}

RouteRequest modelRequest() { return { .role = InstanceRole::Engine, .model = "m", .zone = "z1" }; }

std::string chosen(const UpstreamSnapshot& upstreams, const RouteRequest& request, const RoutingOptions& options = {})
{
    const auto decision = chooseUpstream(upstreams, request, options);
    const auto* route = std::get_if<Route>(&decision);
    return route ? route->upstreamId : "";
}

NoRouteReason reason(const UpstreamSnapshot& upstreams, const RouteRequest& request)
{
    const auto decision = chooseUpstream(upstreams, request, {});
    BOOST_REQUIRE(std::holds_alternative<NoRoute>(decision));
    return std::get<NoRoute>(decision).reason;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Routing)

BOOST_AUTO_TEST_SUITE(OnlyToUpstreamsThatCanServe)

// Guards against new requests to an upstream that is shutting down.
BOOST_AUTO_TEST_CASE(NotToALeavingOne)
{
    auto leaving = engine("a");
    leaving.record.state = InstanceState::Leaving;
    BOOST_TEST(chosen({ leaving, engine("b") }, modelRequest()) == "b");
    BOOST_TEST((reason({ leaving }, modelRequest()) == NoRouteReason::NoneKnown));
}

BOOST_AUTO_TEST_CASE(NotBeforeTheModelIsReady)
{
    auto loading = engine("a");
    loading.resident.front().state = ResidentState::Loading;
    BOOST_TEST(chosen({ loading, engine("b") }, modelRequest()) == "b");
    BOOST_TEST((reason({ loading }, modelRequest()) == NoRouteReason::NoneKnown));
}

BOOST_AUTO_TEST_CASE(NotToAnotherService)
{
    const RouteRequest request { .role = InstanceRole::Service, .service = "shop" };
    BOOST_TEST(chosen({ engine("e"), service("a", "board"), service("b", "shop") }, request) == "b");
}

BOOST_AUTO_TEST_CASE(TheReasonIsThatOfTheBestCandidate)
{
    auto request = modelRequest();
    request.excluded = { "a" };
    auto unreachable = engine("b");
    unreachable.isReachable = false;
    auto full = engine("c");
    full.inFlight = RoutingOptions().concurrencyLimit;
    BOOST_TEST((reason({ engine("a") }, request) == NoRouteReason::AllExcluded));
    BOOST_TEST((reason({ engine("a"), unreachable }, request) == NoRouteReason::AllUnreachable));
    BOOST_TEST((reason({ engine("a"), unreachable, full }, request) == NoRouteReason::AllFull));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ToTheOneWithTheShortestPredictedWait)

BOOST_AUTO_TEST_CASE(LessLoadedFirst)
{
    auto busy = engine("a");
    busy.load->running = 10;
    BOOST_TEST(chosen({ busy, engine("b") }, modelRequest()) == "b");
}

// Guards against sending a burst to one upstream because its load report does not include the burst yet.
BOOST_AUTO_TEST_CASE(OwnRequestsCountBeforeTheReportShowsThem)
{
    auto busy = engine("a");
    busy.inFlight = 10;
    BOOST_TEST(chosen({ busy, engine("b") }, modelRequest()) == "b");
}

BOOST_AUTO_TEST_CASE(SameAvailabilityZoneFirst)
{
    BOOST_TEST(chosen({ engine("a", "z2"), engine("b", "z1") }, modelRequest()) == "b");
}

BOOST_AUTO_TEST_CASE(EqualPrefixesStayTogetherUntilTheUpstreamIsBusy)
{
    auto request = modelRequest();
    request.affinityKey = "prefix";
    const std::string preferred = chosen({ engine("a"), engine("b"), engine("c") }, request);
    UpstreamSnapshot upstreams { engine("a"), engine("b"), engine("c") };
    for (auto& it : upstreams) {
        if (it.record.id == preferred)
            it.load->queued = 10;
    }
    BOOST_TEST(chosen(upstreams, request) != preferred);
}

BOOST_AUTO_TEST_CASE(BatchRequestsLeaveRoomForOthers)
{
    auto busy = engine("a");
    busy.inFlight = 60;
    auto request = modelRequest();
    BOOST_TEST(chosen({ busy }, request) == "a");
    request.urgency = Urgency::Batch;
    BOOST_TEST(chosen({ busy }, request).empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
