#include "refusal_notices.h"

#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

constexpr double limit = 4; // refusals per second that the upstream stands

struct NoticesFixture : FrontFixture {
    RefusalNotices notices { state, client, peers };
    HttpServer control { context, { .address = { .host = "127.0.0.1", .port = 0 } }, notices };

    NoticesFixture()
    {
        addUpstream({ okResponse });
        BOOST_REQUIRE(!control.start());
    }

    Address controlAddress() const { return { .host = "127.0.0.1", .port = control.port() }; }

    unsigned receive(std::string body)
    {
        HttpRequest request { .method = "POST", .target = std::string(refusalNoticesPath), .body = std::move(body) };
        return runAwaitable(context, client.call(controlAddress(), std::move(request))).value().status;
    }

    bool explainsFailure() { return state.recentRefusals().mayExplainFailure("u1", 1, limit); }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ANoticeOfRefusals, NoticesFixture)

BOOST_AUTO_TEST_CASE(CountsAllRefusalsThatItNames)
{
    BOOST_TEST(receive(R"([{"upstream":"u1","startedAt":1,"refusalsPerSecond":4.0,"refusals":2}])") == 200u);
    BOOST_TEST(explainsFailure());
}

// Guards against an instance that rejects the notices of another one while the fleet is upgraded.
BOOST_AUTO_TEST_CASE(OfAnEarlierVersionCountsOnce)
{
    const std::string notice = R"([{"upstream":"u1","startedAt":1,"refusalsPerSecond":4.0}])";
    BOOST_TEST(receive(notice) == 200u);
    BOOST_TEST(!explainsFailure());
    BOOST_TEST(receive(notice) == 200u);
    BOOST_TEST(explainsFailure());
}

BOOST_AUTO_TEST_CASE(ThatCannotBeReadIsRejected)
{
    for (const auto* body : { "", "{}", "[1]", R"([{"upstream":"u1"}])",
             R"([{"upstream":"u1","startedAt":1,"refusalsPerSecond":4.0,"refusals":"x"}])" })
        BOOST_TEST(receive(body) == 400u, body);
}

// Guards against refusals that other instances do not hear of because they come between two notices.
BOOST_AUTO_TEST_CASE(NamesAllRefusalsSinceTheLastOne)
{
    RawServer& peer = addUpstream({ okResponse });
    peers.list = { { .instance = "front-2", .address = peer.address() } };
    for (int i = 0; i < 3; ++i)
        notices.recordRefusal("u1", 1, limit);
    boost::asio::co_spawn(context, notices.run(), boost::asio::detached);
    runFor(200ms);
    BOOST_REQUIRE_EQUAL(peer.received().size(), 1U);
    BOOST_TEST(peer.received().front().find("\"refusals\":3") != std::string::npos);
    notices.stop();
    runFor(100ms);
}

BOOST_AUTO_TEST_SUITE_END()
