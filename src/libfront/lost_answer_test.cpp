#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(AnUpstreamThatLostOneAnswer, FrontFixture)

// Guards against callers who are refused as if their upstream were overloaded, because it never answered one request.
BOOST_AUTO_TEST_CASE(StillGetsOtherRequests)
{
    addUpstream({ "", okResponseTo8 });
    HttpClient otherCaller(context, clock);
    HttpRequest request { .method = "POST", .target = "/once/x", .headers = { { "X-Id", "7" } } };
    const Address address { .host = "127.0.0.1", .port = server.port() };
    boost::asio::co_spawn(context, otherCaller.call(address, std::move(request), { .deadline = clock.now() + 5s }),
        boost::asio::detached);
    runFor(700ms); // more than half of the latency objective
    BOOST_TEST(call("/once/x", "8")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
