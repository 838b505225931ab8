#include "permit_client.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

class FixedHolder final : public LeaseHolder {
public:
    bool isHolder() const override { return isOwn; }
    std::uint64_t term() const override { return 1; }
    std::optional<Address> reachableHolder() const override { return other; }

    bool isOwn = false;
    std::optional<Address> other;
};

struct Fixture {
    boost::asio::io_context context;
    ManualClock clock;
    FrontState state { context, clock, "front-1", "z", {} };
    HttpClient client { context, clock };
    FixedHolder holder;
    PermitClient permits { state, client, holder };

    Fixture()
    {
        state.setInstanceCount(4);
        state.directory().apply({ .id = "a", .service = "s", .startedAt = 1 });
        state.directory().recordRateLimit("a", 1, 2.0, clock.now());
    }

    bool obtain() { return runAwaitable(context, permits.obtain("a", 1, clock.now() + 5s)).has_value(); }
    bool isUsable() { return state.directory().usable("s").size() == 1; }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(APermitClient, Fixture)

BOOST_AUTO_TEST_CASE(NeedsNoPermitForAnUpstreamWithoutALimit)
{
    clock.advance(1ms);
    state.directory().recordRateLimit("a", 1, {}, clock.now());
    BOOST_TEST(obtain());
}

BOOST_AUTO_TEST_CASE(IssuesPermitsItselfAsTheHolder)
{
    holder.isOwn = true;
    BOOST_TEST(!obtain());
    BOOST_TEST(!isUsable());
    clock.advance(500ms);
    BOOST_TEST(isUsable());
    const auto permit = runAwaitable(context, permits.obtain("a", 1, clock.now() + 5s));
    BOOST_REQUIRE(permit.has_value());
    BOOST_TEST((permit->sendBy == clock.bootNow() + 400ms));
}

BOOST_AUTO_TEST_SUITE(WithAnotherHolder)

BOOST_AUTO_TEST_CASE(TakesThePermitOfTheHolder)
{
    RawServer server(
        context, { "HTTP/1.1 200 OK\r\nContent-Length: 35\r\n\r\n{\"isGranted\":true,\"retryAfterMs\":0}" });
    holder.other = server.address();
    BOOST_TEST(obtain());
    BOOST_TEST(server.received().front().find(R"("requestsPerSecond":2.0)") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AsksAgainWhenTheHolderSays)
{
    RawServer server(
        context, { "HTTP/1.1 200 OK\r\nContent-Length: 38\r\n\r\n{\"isGranted\":false,\"retryAfterMs\":700}" });
    holder.other = server.address();
    BOOST_TEST(!obtain());
    clock.advance(699ms);
    BOOST_TEST(!isUsable());
    clock.advance(1ms);
    BOOST_TEST(isUsable());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutAHolder)

// Guards against requests beyond the limit while no instance issues permits.
BOOST_AUTO_TEST_CASE(IssuesItsOwnShare)
{
    unsigned n = 0;
    for (int i = 0; i < 200; ++i) {
        n += obtain() ? 1 : 0;
        clock.advance(100ms);
    }
    BOOST_TEST(n == 9u); // A quarter of 2 permits per second; the bucket starts empty.
}

// Guards against so many instances that their first requests exceed the limit.
BOOST_AUTO_TEST_CASE(IssuesNoneIfThereAreManyInstances)
{
    state.setInstanceCount(7);
    for (int i = 0; i < 200; ++i) {
        BOOST_TEST(!obtain());
        clock.advance(100ms);
    }
}

BOOST_AUTO_TEST_CASE(IssuesNoneIfTheNumberOfInstancesIsUnknown)
{
    FrontState unknown(context, clock, "front-2", "z", {});
    unknown.directory().apply({ .id = "a", .service = "s", .startedAt = 1 });
    unknown.directory().recordRateLimit("a", 1, 2.0, clock.now());
    PermitClient other(unknown, client, holder);
    clock.advance(10s);
    BOOST_TEST(!runAwaitable(context, other.obtain("a", 1, clock.now() + 5s)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
