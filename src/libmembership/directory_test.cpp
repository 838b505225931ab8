#include "bulrushstack/membership/directory.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

InstanceRecord engine(std::string id, std::uint64_t incarnation = 1, InstanceState state = InstanceState::Live)
{
    return {
        .id = std::move(id), .role = InstanceRole::Engine, .zone = "z", .state = state, .incarnation = incarnation
    };
}

struct Fixture {
    ManualClock clock;
    InstanceDirectory directory { clock, { .loadReportLifetime = 5s, .unreachableDuration = 2s } };

    UpstreamView onlyUpstream() const
    {
        const auto upstreams = directory.upstreams();
        BOOST_REQUIRE(upstreams.size() == 1u);
        return upstreams.front();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamDirectory, Fixture)

BOOST_AUTO_TEST_SUITE(LeavingState)

// Guards against new requests to a leaving upstream because another source has not noticed yet and shows it as live.
BOOST_AUTO_TEST_CASE(OverridesALaterLiveRecordOfTheSameIncarnation)
{
    directory.updateInstanceList({ engine("e") });
    directory.markLeaving("e", 1);
    directory.updateInstanceList({ engine("e") });
    BOOST_TEST((onlyUpstream().record.state == InstanceState::Leaving));
    BOOST_TEST(directory.leaving().size() == 1u);
}

BOOST_AUTO_TEST_CASE(EndsWithTheNextIncarnation)
{
    directory.updateInstanceList({ engine("e", 1, InstanceState::Leaving) });
    directory.updateInstanceList({ engine("e", 2) });
    BOOST_TEST((onlyUpstream().record.state == InstanceState::Live));
    directory.markLeaving("e", 1);
    BOOST_TEST((onlyUpstream().record.state == InstanceState::Live));
}

// Guards against an instance that is taken for its predecessor for good: it can raise its incarnation above that of the
// predecessor only if it is told which one left.
BOOST_AUTO_TEST_CASE(IsPassedOnWithTheIncarnationThatLeft)
{
    directory.updateInstanceList({ engine("e") });
    directory.recordHeartbeat("e", 900, InstanceState::Leaving, 0, {});
    directory.updateInstanceList({});
    directory.updateInstanceList({ engine("e") });
    directory.recordHeartbeat("e", 400, InstanceState::Live, 0, {});
    BOOST_TEST((directory.leaving() == std::vector<std::pair<std::string, std::uint64_t>> { { "e", 900 } }));
    directory.recordHeartbeat("e", 901, InstanceState::Live, 0, {});
    BOOST_TEST(directory.leaving().empty());
}

BOOST_AUTO_TEST_CASE(IsKeptIfReportedBeforeTheInstanceList)
{
    directory.recordHeartbeat("e", 3, InstanceState::Leaving, 0, {});
    directory.updateInstanceList({ engine("e", 3) });
    BOOST_TEST((onlyUpstream().record.state == InstanceState::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadReports)

BOOST_AUTO_TEST_CASE(ExpireButResidentModelsAreKept)
{
    directory.updateInstanceList({ engine("e") });
    directory.recordLoadReport("e",
        { .incarnation = 1,
            .running = 4,
            .resident = { { .model = "m", .version = "1", .state = ResidentState::Ready } } });
    BOOST_TEST(onlyUpstream().load->running == 4u);
    clock.advance(5s);
    BOOST_TEST(!onlyUpstream().load.has_value());
    BOOST_TEST(onlyUpstream().resident.size() == 1u);
}

// Guards against routing to an engine by the models that it had in memory before a restart.
BOOST_AUTO_TEST_CASE(OfAnEarlierIncarnationAreIgnored)
{
    directory.updateInstanceList({ engine("e", 1) });
    directory.recordLoadReport("e", { .incarnation = 1, .resident = { { .model = "m" } } });
    directory.updateInstanceList({ engine("e", 2) });
    BOOST_TEST(onlyUpstream().resident.empty());
    directory.recordLoadReport("e", { .incarnation = 1, .resident = { { .model = "m" } } });
    BOOST_TEST(onlyUpstream().resident.empty());
}

BOOST_AUTO_TEST_CASE(OfALaterIncarnationOverrideTheLaggingInstanceList)
{
    directory.updateInstanceList({ engine("e", 1) });
    directory.recordLoadReport("e", { .incarnation = 2, .running = 1 });
    directory.updateInstanceList({ engine("e", 1) });
    BOOST_TEST(onlyUpstream().record.incarnation == 2u);
    BOOST_TEST(onlyUpstream().load.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Connections)

BOOST_AUTO_TEST_CASE(FailuresMakeAnUpstreamUnreachableForALimitedTime)
{
    directory.updateInstanceList({ engine("e") });
    directory.recordConnection("e", false);
    BOOST_TEST(!onlyUpstream().isReachable);
    clock.advance(2s);
    BOOST_TEST(onlyUpstream().isReachable);
    directory.recordConnection("e", false);
    directory.recordConnection("e", true);
    BOOST_TEST(onlyUpstream().isReachable);
}

// Guards against a counter of requests that drops below zero after the instance was removed and added again.
BOOST_AUTO_TEST_CASE(InFlightCountSurvivesRemoval)
{
    directory.updateInstanceList({ engine("e") });
    directory.beginRequest("e");
    directory.updateInstanceList({});
    directory.updateInstanceList({ engine("e") });
    directory.endRequest("e");
    BOOST_TEST(onlyUpstream().inFlight == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
