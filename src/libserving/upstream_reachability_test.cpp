#include "bulrushstack/serving/upstream_reachability.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct Fixture {
    ManualClock clock;
    UpstreamReachability reachability { clock };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnInstanceIsCutOff, Fixture)

BOOST_AUTO_TEST_CASE(IfNewConnectionsToSeveralUpstreamsFail)
{
    reachability.recordConnectFailure("u1");
    reachability.recordConnectFailure("u1");
    BOOST_TEST(!reachability.isCutOff());
    reachability.recordConnectFailure("u2");
    BOOST_TEST(reachability.isCutOff());
}

BOOST_AUTO_TEST_CASE(UntilOneSucceeds)
{
    reachability.recordConnectFailure("u1");
    reachability.recordConnectFailure("u2");
    reachability.recordConnected();
    BOOST_TEST(!reachability.isCutOff());
    reachability.recordConnectFailure("u1");
    BOOST_TEST(!reachability.isCutOff());
}

// Guards against two crashes, long apart, that count as one.
BOOST_AUTO_TEST_CASE(OnlyIfTheFailuresAreRecent)
{
    reachability.recordConnectFailure("u1");
    clock.advance(3s);
    reachability.recordConnectFailure("u2");
    BOOST_TEST(!reachability.isCutOff());
    BOOST_TEST(!reachability.hasFailed("u1"));
    BOOST_TEST(reachability.hasFailed("u2"));
}

BOOST_AUTO_TEST_SUITE_END()
