#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string fourEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n";
const RawServerPace slowPace { .pieceSize = 24, .pause = 150ms };

} // namespace

BOOST_FIXTURE_TEST_SUITE(SlowStreams, FrontFixture)

// Guards against cutting a stream that is slow but sound.
BOOST_AUTO_TEST_CASE(IsRelayedToItsEnd)
{
    addUpstream({ closeDelimitedStreamHead + fourEvents }, true, slowPace);
    const auto started = clock.now();
    BOOST_TEST(call("/events/x")->body == fourEvents);
    BOOST_TEST((clock.now() - started > 700ms));
}

// Guards against work that is given up, or started again elsewhere, because its upstream has stopped reporting.
BOOST_AUTO_TEST_CASE(ContinuesAfterItsUpstreamHasDisappearedFromTheDirectory)
{
    addUpstream({ closeDelimitedStreamHead + fourEvents }, true, slowPace);
    addUpstream({ closeDelimitedStreamHead + fourEvents }, true);
    boost::asio::steady_timer timer(context, 300ms);
    timer.async_wait([&](boost::system::error_code) {
        state.directory().apply({ .id = "u1", .service = "s", .isDraining = true, .startedAt = 1 });
        state.directory().remove({ "u1" });
        BOOST_TEST((state.directory().find("u1") == nullptr));
    });
    BOOST_TEST(call("/resumable/x")->body == fourEvents);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

BOOST_AUTO_TEST_SUITE(StalledButSendingAByteNowAndThen)

// Guards against a stalled stream that never ends because each byte counts as progress.
BOOST_AUTO_TEST_CASE(EndsAtTheTimeoutOfItsRoute)
{
    addUpstream({ streamResponseHead + chunk("id: 1\ndata: a\n\n") + chunk(std::string(1200, ':')) }, false,
        { .pieceSize = 10, .pause = 40ms });
    const auto started = clock.now();
    BOOST_TEST(call("/events/x").has_error());
    const auto elapsed = clock.now() - started;
    BOOST_TEST((elapsed >= 2900ms));
    BOOST_TEST((elapsed < 3500ms));
}

// The same while the header of the response is still incomplete.
BOOST_AUTO_TEST_CASE(EndsAtTheTimeoutOfItsRouteWithinTheHeader)
{
    addUpstream(
        { streamResponseHead.substr(0, 20) + std::string(1000, 'a') }, false, { .pieceSize = 1, .pause = 30ms });
    const auto started = clock.now();
    BOOST_TEST(call("/events/x")->status == 504u);
    BOOST_TEST((clock.now() - started < 3500ms));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
