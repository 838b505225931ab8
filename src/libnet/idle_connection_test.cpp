#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_client.h"
#include "raw_server.h"
#include "unframed_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct IdleConnectionFixture {
    boost::asio::io_context context;
    SystemClock clock;
    HttpClient client { context, clock };

    std::unique_ptr<IdleConnection> hold(const Address& address)
    {
        auto out = runAwaitable(context, client.holdIdleConnection(address, 1s));
        BOOST_REQUIRE(out);
        return std::move(*out);
    }

    void runLater(std::chrono::milliseconds delay, std::function<void()> change)
    {
        timer.expires_after(delay);
        timer.async_wait([change = std::move(change)](boost::system::error_code) { change(); });
    }

    void runFor(std::chrono::milliseconds duration)
    {
        context.restart();
        context.run_for(duration);
    }

    boost::asio::steady_timer timer { context };
};

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnIdleConnection, IdleConnectionFixture)

BOOST_AUTO_TEST_CASE(EndsWithItsProcess)
{
    UnframedServer server(context, "");
    auto connection = hold(server.address());
    runLater(20ms, [&] { server.kill(); });
    const auto end = runAwaitable(context, connection->waitForEnd());
    BOOST_TEST((end == IdleConnectionEnd::Closed));
    BOOST_TEST((connection->end() == IdleConnectionEnd::Closed));
}

// Guards against a process that is taken for ended since it no longer listens.
BOOST_AUTO_TEST_CASE(StaysWhileItsProcessRunsWithoutListening)
{
    UnframedServer server(context, "");
    auto connection = hold(server.address());
    runFor(20ms);
    server.stopListening();
    runFor(50ms);
    BOOST_TEST(!connection->end());
    BOOST_TEST(!runAwaitable(context, client.holdIdleConnection(server.address(), 1s)));
}

BOOST_AUTO_TEST_CASE(IsOverdueBeforeTheServerClosesItForItsIdleTime)
{
    UnframedServer server(context, "");
    auto connection = hold(server.address());
    const auto end = runAwaitable(context, connection->waitForEnd(50ms));
    BOOST_TEST((end == IdleConnectionEnd::Overdue));
    BOOST_TEST(!connection->end());
}

// Guards against a wait that goes on, and takes what arrives, while a request uses the connection.
BOOST_AUTO_TEST_CASE(ServesRequestsAfterItWasHeld)
{
    RawServer server(context, { okResponse, okResponse });
    const auto call = [&] {
        return runAwaitable(context,
            client.call(server.address(), { .method = "GET", .target = "/" }, { .deadline = clock.now() + 5s }));
    };
    BOOST_TEST(call()->body == "ok");
    auto connection = hold(server.address());
    BOOST_TEST(client.connectionCounts().idle == 0U);
    boost::asio::co_spawn(context, connection->waitForEnd(10s), boost::asio::detached);
    runFor(20ms);
    connection.reset();
    BOOST_TEST(client.connectionCounts().idle == 1U);
    BOOST_TEST(call()->body == "ok");
    BOOST_TEST(server.connections() == 1U);
}

// Guards against a response that was sent twice and is taken for the one to the next request.
BOOST_AUTO_TEST_CASE(IsNotUsedAgainAfterUnsolicitedBytes)
{
    boost::asio::ip::tcp::acceptor acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    auto connection = hold({ .host = "127.0.0.1", .port = acceptor.local_endpoint().port() });
    auto accepted = acceptor.accept();
    boost::asio::write(accepted, boost::asio::buffer(okResponse));
    boost::asio::co_spawn(context, connection->waitForEnd(), boost::asio::detached);
    runFor(200ms);
    BOOST_TEST(!connection->end());
    connection.reset();
    BOOST_TEST(client.connectionCounts().idle == 0U);
    BOOST_TEST(client.connectionCounts().unsolicited == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
