#include "test_server.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::string_view smallRequest = "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi";
constexpr auto timeLimit = 400ms; // the timeout that expires while the loop stands still
// The server is done if it has nothing to do for this time, which is longer than the pauses of a drain.
constexpr auto quietTime = 10ms;
constexpr std::size_t streamSize = 32 * 1024 * 1024; // more than the socket buffers of both ends hold

/// Responds with a stream of streamSize bytes.
class LongStreamHandler final : public HttpHandler {
public:
    asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        co_await exchange.beginStream(200, HttpHeaders());
        m_error = co_await exchange.write(std::string(streamSize, 'x'));
        if (!m_error)
            m_error = co_await exchange.endStream();
    }

    std::error_code error() const { return m_error; }

private:
    std::error_code m_error;
};

/// A client whose calls block, so that the server runs only in serve().
struct LateLoopFixture : ServerFixture {
    explicit LateLoopFixture(HttpServerOptions options = {})
        : ServerFixture(std::move(options))
    {
    }

    /// Runs the server until it has handled all that has arrived.
    void serve()
    {
        context.restart();
        while (context.run_for(quietTime) > 0) { }
    }

    static void standStill() { std::this_thread::sleep_for(2 * timeLimit); }

    tcp::socket connect()
    {
        tcp::socket socket(context);
        socket.connect({ asio::ip::make_address(address.host), address.port });
        return socket;
    }

    static void send(tcp::socket& socket, std::string_view data) { asio::write(socket, asio::buffer(data)); }

    /// Returns what the client has received.
    static std::string receive(tcp::socket& socket)
    {
        std::string out(64 * 1024, ' ');
        boost::system::error_code ec;
        socket.non_blocking(true);
        out.resize(socket.read_some(asio::buffer(out), ec));
        socket.non_blocking(false);
        return out;
    }

    /// Opens a connection and has one request served, so that the connection waits for the next one.
    tcp::socket openIdle()
    {
        auto socket = connect();
        send(socket, smallRequest);
        serve();
        BOOST_TEST(receive(socket).ends_with("hi"));
        return socket;
    }
};

/// Calls a server that responds before the deadline of the call, while the loop stands still until after it.
Result<HttpResponse> callDuringStandstill(HttpCallOptions options)
{
    LateLoopFixture fixture;
    tcp::acceptor upstream(fixture.context, { asio::ip::make_address("127.0.0.1"), 0 });
    const Address address { .host = "127.0.0.1", .port = upstream.local_endpoint().port() };
    options.deadline = fixture.clock.now() + timeLimit;
    std::optional<Result<HttpResponse>> response;
    asio::co_spawn(fixture.context, fixture.client.call(address, HttpRequest(), options),
        [&](std::exception_ptr, Result<HttpResponse> result) { response.emplace(std::move(result)); });
    fixture.serve();
    auto socket = upstream.accept();
    fixture.serve();
    LateLoopFixture::send(socket, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi");
    LateLoopFixture::standStill();
    fixture.serve();
    return response.value();
}

struct ShortIdleTimeout : LateLoopFixture {
    ShortIdleTimeout()
        : LateLoopFixture({ .idleTimeout = timeLimit })
    {
    }
};

struct ShortReadTimeout : LateLoopFixture {
    ShortReadTimeout()
        : LateLoopFixture({ .readTimeout = timeLimit })
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LateLoop)

BOOST_FIXTURE_TEST_SUITE(IdleConnection, ShortIdleTimeout)

// Guards against a request that is read and dropped because the idle timeout has expired meanwhile.
BOOST_AUTO_TEST_CASE(RequestThatArrivedBeforeTheIdleTimeoutIsAnswered)
{
    auto socket = openIdle();
    send(socket, smallRequest);
    standStill();
    serve();
    BOOST_TEST(receive(socket).ends_with("hi"));
    BOOST_TEST(handler.requests() == 2);
    BOOST_TEST(handler.unanswered().empty());
}

// Guards against a connection that is closed early, when clients know of a longer idle timeout than it does.
BOOST_AUTO_TEST_CASE(StaysOpenIfTheIdleTimeoutIsRaisedMeanwhile)
{
    auto socket = openIdle();
    server.setLimits({ .idleTimeout = 1h });
    standStill();
    serve();
    send(socket, smallRequest);
    serve();
    BOOST_TEST(receive(socket).ends_with("hi"));
}

// Guards against connections that are never closed once their idle timeout has been put off.
BOOST_AUTO_TEST_CASE(IsClosedAfterTheIdleTimeout)
{
    auto socket = openIdle();
    standStill();
    serve();
    char c = 0;
    boost::system::error_code ec;
    socket.read_some(asio::buffer(&c, 1), ec);
    BOOST_TEST(bool(ec == asio::error::eof));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(IncompleteRequest, ShortReadTimeout)

// Guards against a request that is dropped although its last byte has arrived in time.
BOOST_AUTO_TEST_CASE(RequestThatWasCompleteBeforeTheReadTimeoutIsAnswered)
{
    for (const std::size_t size : { std::size_t(10), smallRequest.size() - 1 }) {
        auto socket = openIdle();
        send(socket, smallRequest.substr(0, size));
        serve();
        send(socket, smallRequest.substr(size));
        standStill();
        serve();
        BOOST_TEST(receive(socket).ends_with("hi"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Drain, LateLoopFixture)

// Guards against a request that is dropped because the server begins to drain while it arrives.
BOOST_AUTO_TEST_CASE(RequestThatIsBeingReadIsAnswered)
{
    for (const std::size_t size : { std::size_t(10), smallRequest.size() - 1 }) {
        LateLoopFixture fixture;
        auto socket = fixture.openIdle();
        send(socket, smallRequest.substr(0, size));
        fixture.serve();
        bool isDrained = false;
        asio::co_spawn(fixture.context, fixture.server.drain(), [&](std::exception_ptr) { isDrained = true; });
        fixture.serve();
        BOOST_TEST(!isDrained);
        send(socket, smallRequest.substr(size));
        fixture.serve();
        BOOST_TEST(receive(socket).ends_with("hi"));
        BOOST_TEST(isDrained);
    }
}

// Guards against a request that is dropped because the connection's response before it ends during the drain.
BOOST_AUTO_TEST_CASE(RequestAfterAKeptAliveStreamIsAnswered)
{
    auto socket = openIdle();
    send(socket, "GET /slow-stream HTTP/1.1\r\nHost: a\r\n\r\n");
    serve();
    BOOST_TEST(handler.requests() == 2);
    bool isDrained = false;
    asio::co_spawn(context, server.drain(), [&](std::exception_ptr) { isDrained = true; });
    serve();
    send(socket, smallRequest);
    while (!isDrained)
        context.run_one();
    BOOST_TEST(receive(socket).ends_with("hi"));
}

// Guards against a drain that waits for a client that does not complete its request.
BOOST_AUTO_TEST_CASE(RequestThatIsNotCompletedGets503)
{
    auto socket = openIdle();
    send(socket, smallRequest.substr(0, 10));
    serve();
    runAwaitable(context, server.drain());
    BOOST_TEST(receive(socket).starts_with("HTTP/1.1 503"));
    BOOST_TEST(handler.requests() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Response)

// Guards against a stream that is cut although its client reads it, because this process stood still.
BOOST_AUTO_TEST_CASE(StreamGoesOnIfTheClientHasReadBeforeTheWriteTimeout)
{
    LongStreamHandler stream;
    LateLoopFixture fixture;
    HttpServer server(fixture.context, ServerFixture::withLoopback({ .writeTimeout = timeLimit }), stream);
    BOOST_TEST(!server.start());
    fixture.address.port = server.port();
    auto socket = fixture.connect();
    LateLoopFixture::send(socket, smallRequest);
    fixture.serve();
    std::size_t received = LateLoopFixture::receive(socket).size();
    while (const std::size_t n = LateLoopFixture::receive(socket).size())
        received += n;
    LateLoopFixture::standStill();
    for (int i = 0; i < 1'000 && received < streamSize; ++i) {
        fixture.serve();
        while (const std::size_t n = LateLoopFixture::receive(socket).size())
            received += n;
    }
    BOOST_TEST(received > streamSize);
    BOOST_TEST(!stream.error());
}

// Guards against a response that is dropped although it arrived before the deadline, so that its request fails.
BOOST_AUTO_TEST_CASE(IsDeliveredIfItArrivedBeforeTheDeadline)
{
    const auto response = callDuringStandstill({ .isLateResponseRead = true });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body == "hi");
}

// Guards against knowledge that is taken for current although the loop stood still since it arrived.
BOOST_AUTO_TEST_CASE(FailsAfterTheDeadlineIfItMustBeCurrent) { BOOST_TEST(callDuringStandstill({}).has_error()); }

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
