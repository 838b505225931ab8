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
    Directory directory { clock, { .loadLifetime = 5s, .unreachableTime = 2s } };

    UpstreamView only() const
    {
        const auto upstreams = directory.upstreams();
        BOOST_REQUIRE(upstreams.size() == 1u);
        return upstreams.front();
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UpstreamDirectory, Fixture)

BOOST_AUTO_TEST_SUITE(LeavingMark)

// Guards against new work for a leaving upstream because a lagging source still shows it as live.
BOOST_AUTO_TEST_CASE(WinsOverALaterLiveRecordOfTheSameIncarnation)
{
    directory.updateRoster({ engine("e") });
    directory.markLeaving("e", 1);
    directory.updateRoster({ engine("e") });
    BOOST_TEST((only().record.state == InstanceState::Leaving));
    BOOST_TEST(directory.leaving().size() == 1u);
}

BOOST_AUTO_TEST_CASE(EndsWithTheNextIncarnation)
{
    directory.updateRoster({ engine("e", 1, InstanceState::Leaving) });
    directory.updateRoster({ engine("e", 2) });
    BOOST_TEST((only().record.state == InstanceState::Live));
    directory.markLeaving("e", 1);
    BOOST_TEST((only().record.state == InstanceState::Live));
}

BOOST_AUTO_TEST_CASE(ArrivingBeforeTheRosterIsKept)
{
    directory.noteHeartbeat("e", 3, InstanceState::Leaving, 0, {});
    directory.updateRoster({ engine("e", 3) });
    BOOST_TEST((only().record.state == InstanceState::Leaving));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadReports)

BOOST_AUTO_TEST_CASE(ExpireButResidencyIsRemembered)
{
    directory.updateRoster({ engine("e") });
    directory.noteLoad("e",
        { .incarnation = 1,
            .running = 4,
            .resident = { { .model = "m", .version = "1", .state = ResidentState::Ready } } });
    BOOST_TEST(only().load->running == 4u);
    clock.advance(5s);
    BOOST_TEST(!only().load.has_value());
    BOOST_TEST(only().resident.size() == 1u);
}

// Guards against routing by what a process held before it was restarted.
BOOST_AUTO_TEST_CASE(OfAnEarlierIncarnationAreIgnored)
{
    directory.updateRoster({ engine("e", 1) });
    directory.noteLoad("e", { .incarnation = 1, .resident = { { .model = "m" } } });
    directory.updateRoster({ engine("e", 2) });
    BOOST_TEST(only().resident.empty());
    directory.noteLoad("e", { .incarnation = 1, .resident = { { .model = "m" } } });
    BOOST_TEST(only().resident.empty());
}

BOOST_AUTO_TEST_CASE(OfALaterIncarnationAreBelievedBeforeTheLaggingRoster)
{
    directory.updateRoster({ engine("e", 1) });
    directory.noteLoad("e", { .incarnation = 2, .running = 1 });
    directory.updateRoster({ engine("e", 1) });
    BOOST_TEST(only().record.incarnation == 2u);
    BOOST_TEST(only().load.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Connections)

BOOST_AUTO_TEST_CASE(FailuresCountForALimitedTime)
{
    directory.updateRoster({ engine("e") });
    directory.noteConnection("e", false);
    BOOST_TEST(!only().isReachable);
    clock.advance(2s);
    BOOST_TEST(only().isReachable);
    directory.noteConnection("e", false);
    directory.noteConnection("e", true);
    BOOST_TEST(only().isReachable);
}

// Guards against a count that goes below zero after a member was removed and added again.
BOOST_AUTO_TEST_CASE(InFlightCountSurvivesRemoval)
{
    directory.updateRoster({ engine("e") });
    directory.beginRequest("e");
    directory.updateRoster({});
    directory.updateRoster({ engine("e") });
    directory.endRequest("e");
    BOOST_TEST(only().inFlight == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
