#include "test_server.h"

#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct LowLimitsFixture : ServerFixture {
    LowLimitsFixture()
        : ServerFixture({ .headerLimit = 1024,
            .bodyLimit = 1024,
            .connectionLimit = 4,
            .readTimeout = 100ms,
            .idleTimeout = 100ms })
    {
    }
};

/// Fails to make the response to a malformed request.
class FailingErrorHandler final : public HttpHandler {
public:
    boost::asio::awaitable<void> handle(HttpExchange&) override { co_return; }
    HttpResponse protocolError(unsigned, std::string_view) override { throw std::runtime_error("no response"); }
    void onUnanswered(const UnansweredRequest& request) override { unanswered.push_back(request); }

    std::vector<UnansweredRequest> unanswered;
};

constexpr std::size_t bufferLimit = 256 * 1024; // bytes
constexpr std::size_t largeBody = 100 * 1024; // fits alone, but not beside two others

struct BoundedMemoryFixture {
    ManualClock manualClock;
    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(bufferLimit);
    std::shared_ptr<ClientBuffers> buffers
        = std::make_shared<ClientBuffers>(manualClock, ClientBuffersOptions { .budget = budget });
    ServerFixture server { { .buffers = buffers } };

    static std::string head(std::size_t size)
    {
        return "POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    }

    /// Runs the server until it has charged the bytes and has read all that has arrived.
    void runUntilUsed(std::size_t size)
    {
        server.context.restart();
        while (budget->used() < size)
            server.context.run_one();
        while (server.context.poll() > 0) { }
    }

    /// Opens a connection and sends all of a large body but its last byte.
    boost::asio::ip::tcp::socket openIncomplete()
    {
        namespace asio = boost::asio;
        asio::ip::tcp::socket socket(server.context);
        socket.connect({ asio::ip::make_address(server.address.host), server.address.port });
        const std::size_t before = budget->used();
        asio::write(socket, asio::buffer(head(largeBody) + std::string(largeBody - 1, 'x')));
        runUntilUsed(before + largeBody * 3 / 4); // the capacity of the whole body, without the free size
        return socket;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Server)

BOOST_FIXTURE_TEST_SUITE(Responses, ServerFixture)

BOOST_AUTO_TEST_CASE(RequestBodyIsReceived)
{
    auto response = call("POST", "/echo", "hello");
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 200u);
    BOOST_TEST(response->body == "hello");
}

BOOST_AUTO_TEST_CASE(HeadResponseHasNoBody)
{
    auto response = call("HEAD", "/echo");
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body.empty());
    BOOST_TEST(call("POST", "/echo", "next")->body == "next");
}

// Guards against a client that waits forever because the handler threw or sent no response.
BOOST_AUTO_TEST_CASE(FailedHandlerGets500)
{
    BOOST_TEST(call("GET", "/throw")->status == 500u);
    BOOST_TEST(call("GET", "/nothing")->status == 500u);
    BOOST_TEST(call("GET", "/long-field")->status == 500u);
    BOOST_TEST(call("GET", "/echo")->status == 200u);
}

// Guards against a truncated stream that an HTTP/1.0 client takes for complete, since its body ends with the
// connection.
BOOST_AUTO_TEST_CASE(TruncatedStreamToAnHttp10ClientIsReset)
{
    for (const std::string path : { "/cut", "/abort" }) {
        sendRaw("GET " + path + " HTTP/1.0\r\n\r\n");
        BOOST_TEST(wasReset, path);
    }
    BOOST_TEST(sendRaw("GET /stream HTTP/1.0\r\n\r\n").ends_with("one two three"));
    BOOST_TEST(!wasReset);
}

// Guards against request smuggling: a message body that is read as the next request of the connection.
BOOST_AUTO_TEST_CASE(AmbiguousFramingIsRefused)
{
    const std::string both
        = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST(sendRaw(both).starts_with("HTTP/1.1 400"));
    const std::string two = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd";
    BOOST_TEST(sendRaw(two).starts_with("HTTP/1.1 400"));
    BOOST_TEST(handler.requests() == 0);
}

// Guards against request smuggling by a transfer coding that one HTTP implementation honours and another ignores.
BOOST_AUTO_TEST_CASE(UnknownTransferCodingsAreRefused)
{
    for (const std::string coding : { "xchunked", "chunked, identity", "gzip, chunked", "identity" }) {
        const auto response
            = sendRaw("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: " + coding + "\r\n\r\n0\r\n\r\n");
        const bool isRefused = response.starts_with("HTTP/1.1 501") || response.starts_with("HTTP/1.1 400");
        BOOST_TEST(isRefused, coding);
    }
    const std::string two
        = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    BOOST_TEST(sendRaw(two).starts_with("HTTP/1.1 400"));
    BOOST_TEST(handler.requests() == 0);
}

// Guards against a header field that other HTTP implementations read as part of the preceding line.
BOOST_AUTO_TEST_CASE(FoldedLinesAndBareLineFeedsAreRefused)
{
    for (const std::string header : { "X-A: 1\r\n X-B: 2\r\n", "X-A: 1\r\n\tX-B: 2\r\n", "X-A: 1\nX-B: 2\r\n" }) {
        const auto response = sendRaw("GET / HTTP/1.1\r\nHost: a\r\n" + header + "\r\n");
        BOOST_TEST(response.starts_with("HTTP/1.1 400"), header);
    }
    BOOST_TEST(handler.requests() == 0);
}

BOOST_AUTO_TEST_CASE(ChunkedBodiesAreRead)
{
    const auto response = sendRaw("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(response.ends_with("abcde"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Limits, LowLimitsFixture)

BOOST_AUTO_TEST_CASE(OversizedHeaderGets431)
{
    BOOST_TEST(sendRaw("GET / HTTP/1.1\r\nX-Long: " + std::string(4000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431"));
}

// Guards against an exception that ends the process: a client announces a body that cannot be allocated.
BOOST_AUTO_TEST_CASE(BodyThatCannotBeAllocatedGets413)
{
    for (const std::string length : { "1000000000000000", "9223372036854775807" })
        BOOST_TEST(sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n\r\nx")
                       .starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(OversizedBodyGets413)
{
    BOOST_TEST(sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n" + std::string(5000, 'x'))
                   .starts_with("HTTP/1.1 413"));
}

BOOST_AUTO_TEST_CASE(MalformedRequestGets400)
{
    BOOST_TEST(sendRaw("\x01\x02nonsense\r\n\r\n").starts_with("HTTP/1.1 400"));
    BOOST_TEST(call("GET", "/echo")->status == 200u);
}

// Guards against connections that a client keeps open by never completing its request.
BOOST_AUTO_TEST_CASE(SlowWriterGets408AndIsDisconnected)
{
    BOOST_TEST(sendRaw("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc").starts_with("HTTP/1.1 408"));
    BOOST_TEST(sendRaw("POST / HTTP/1.1\r\nHo").starts_with("HTTP/1.1 408"));
    BOOST_TEST(handler.requests() == 0);
}

BOOST_AUTO_TEST_CASE(ConnectionsBeyondTheLimitGet503)
{
    std::vector<boost::asio::ip::tcp::socket> sockets;
    const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), address.port);
    for (int i = 0; i < 4; ++i) {
        sockets.emplace_back(context);
        sockets.back().connect(endpoint);
    }
    BOOST_TEST(sendRaw("").starts_with("HTTP/1.1 503"));
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against refused connections that take all file descriptors of the process until their clients close them, and
// against one that is closed without being told so.
BOOST_AUTO_TEST_CASE(RefusalsAreBoundedAndSent)
{
    namespace asio = boost::asio;
    static constexpr int refusalLimit = 64;
    ServerFixture fixture({ .connectionLimit = 1 });
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), fixture.address.port);
    std::vector<asio::ip::tcp::socket> sockets;
    for (int i = 0; i < 1 + refusalLimit + 1; ++i) {
        sockets.emplace_back(fixture.context);
        sockets.back().connect(endpoint);
    }
    fixture.context.restart();
    while (fixture.context.poll() > 0) { }
    const auto firstBytes = [](asio::ip::tcp::socket& socket) {
        std::string buf(12, ' ');
        boost::system::error_code ec;
        buf.resize(asio::read(socket, asio::buffer(buf), ec));
        return buf;
    };
    for (int i = 1; i <= refusalLimit; ++i)
        BOOST_TEST(firstBytes(sockets[i]) == "HTTP/1.1 503");
    BOOST_TEST(firstBytes(sockets.back()) == "HTTP/1.1 503");
    std::string rest;
    boost::system::error_code ec;
    asio::read(sockets.back(), asio::dynamic_buffer(rest), ec); // ends although the client keeps its connection open
    BOOST_TEST(bool(ec == asio::error::eof));
}

// Guards against a connection that stays open without a response for ever, and a drain that waits for it.
BOOST_AUTO_TEST_CASE(ConnectionEndsIfItsErrorResponseFails)
{
    ServerFixture fixture;
    FailingErrorHandler failing;
    HttpServer server(fixture.context, ServerFixture::withLoopback({}), failing);
    BOOST_TEST(!server.start());
    fixture.address.port = server.port();
    BOOST_TEST(fixture.sendRaw("\x01 nonsense\r\n\r\n").empty());
    BOOST_TEST(failing.unanswered.size() == 1u);
    runAwaitable(fixture.context, server.drain());
    BOOST_TEST(server.isDrained());
}

BOOST_FIXTURE_TEST_SUITE(Memory, BoundedMemoryFixture)

// Guards against a connection whose buffer grows with the trailers until the memory of the process is used up.
BOOST_AUTO_TEST_CASE(EndlessTrailersGet431)
{
    std::string data = "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n";
    for (int i = 0; i < 64; ++i)
        data += "X-Trailer: " + std::string(1000, 't') + "\r\n";
    BOOST_TEST(server.sendRaw(data).starts_with("HTTP/1.1 431"));
    BOOST_TEST(server.handler.requests() == 0);
    BOOST_TEST(budget->used() == 0u);
}

// Guards against the same with an endless extension of a chunk.
BOOST_AUTO_TEST_CASE(EndlessChunkExtensionIsRefused)
{
    const auto response = server.sendRaw(
        "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;a=" + std::string(64 * 1024, 'x'));
    BOOST_TEST(response.starts_with("HTTP/1.1 4"));
    BOOST_TEST(server.handler.requests() == 0);
}

BOOST_AUTO_TEST_CASE(ShortTrailersAreAccepted)
{
    const auto response = server.sendRaw("POST /echo HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
                                         "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n");
    BOOST_TEST(response.ends_with("abc"));
}

// Guards against memory that is charged for a request after its end, so that all later ones are refused.
BOOST_AUTO_TEST_CASE(MemoryIsReleasedAfterEachRequest)
{
    for (int i = 0; i < 8; ++i)
        BOOST_TEST(server.call("POST", "/echo", std::string(largeBody, 'x'))->body.size() == largeBody);
    server.context.restart();
    while (server.context.poll() > 0) { }
    BOOST_TEST(budget->used() == 0u);
    BOOST_TEST(buffers->refused() == 0u);
}

// Guards against bodies that are each permitted but take more than the memory of the process together.
BOOST_AUTO_TEST_CASE(BodyBeyondTheBudgetGets503BeforeItIsRead)
{
    const auto holder = openIncomplete();
    const auto response = server.sendRaw(head(largeBody));
    BOOST_TEST(response.starts_with("HTTP/1.1 503"));
    BOOST_TEST(response.find("Retry-After: 1\r\n") != std::string::npos);
    BOOST_TEST(server.call("POST", "/echo", "small")->status == 200u);
    BOOST_TEST(server.handler.requests() == 1);
    BOOST_TEST(buffers->refused() == 1u);
    BOOST_TEST(buffers->closed() == 0u);
}

// Guards against the same with a body whose size is not announced.
BOOST_AUTO_TEST_CASE(ChunkedBodyBeyondTheBudgetGets503)
{
    const auto holder = openIncomplete();
    std::string data = "POST /echo HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t i = 0; i < largeBody / 16; ++i)
        data += "10\r\n0123456789abcdef\r\n";
    BOOST_TEST(server.sendRaw(data).starts_with("HTTP/1.1 503"));
    BOOST_TEST(server.handler.requests() == 0);
}

// Guards against stalled clients that keep others from being served.
BOOST_AUTO_TEST_CASE(StalledHolderIsClosedForAnActiveClient)
{
    auto holder = openIncomplete();
    manualClock.advance(1s);
    const auto response = server.call("POST", "/echo", std::string(largeBody, 'x'));
    BOOST_TEST(response->status == 200u);
    BOOST_TEST(buffers->closed() == 1u);
    boost::system::error_code ec;
    char c = 0;
    BOOST_TEST(holder.read_some(boost::asio::buffer(&c, 1), ec) == 0u);
    BOOST_TEST(bool(ec));
}

// Guards against a client that is closed as stalled although what it sent waits to be read.
BOOST_AUTO_TEST_CASE(HolderWhoseInputWaitsIsNotClosed)
{
    auto holder = openIncomplete();
    boost::asio::write(holder, boost::asio::buffer("x", 1));
    manualClock.advance(1s);
    ClientBuffer other(buffers, [](std::size_t) {});
    BOOST_TEST(!other.resize(largeBody));
    BOOST_TEST(buffers->closed() == 0u);
    server.context.restart();
    server.context.run_for(20ms);
    BOOST_TEST(server.handler.requests() == 1);
}

// Guards against slow clients that are disconnected although there is room for them.
BOOST_AUTO_TEST_CASE(StalledHolderStaysWhileThereIsRoom)
{
    auto holder = openIncomplete();
    manualClock.advance(1min);
    BOOST_TEST(server.call("POST", "/echo", "small")->status == 200u);
    boost::asio::write(holder, boost::asio::buffer("x", 1));
    server.context.restart();
    while (server.handler.requests() < 2)
        server.context.run_one();
    BOOST_TEST(buffers->closed() == 0u);
}

// Guards against a client that loses its connection although it makes progress.
BOOST_AUTO_TEST_CASE(ActiveHolderIsNotClosed)
{
    ClientBuffer active(buffers, [](std::size_t) {});
    ClientBuffer other(buffers, [](std::size_t) {});
    active.beginTransfer();
    BOOST_TEST(active.resize(largeBody));
    for (int i = 0; i < 20; ++i) {
        manualClock.advance(500ms);
        active.recordProgress(2048);
        BOOST_TEST(!other.resize(largeBody));
    }
    manualClock.advance(1s);
    BOOST_TEST(other.resize(largeBody));
    BOOST_TEST(active.isClosed());
}

// Guards against a choice that closes many small connections where one large one suffices.
BOOST_AUTO_TEST_CASE(LargestStalledHolderIsClosedFirst)
{
    ClientBuffer small(buffers, [](std::size_t) {});
    ClientBuffer large(buffers, [](std::size_t) {});
    ClientBuffer active(buffers, [](std::size_t) {});
    small.beginTransfer();
    large.beginTransfer();
    BOOST_TEST(small.resize(largeBody / 4));
    BOOST_TEST(large.resize(largeBody));
    manualClock.advance(1s);
    BOOST_TEST(active.resize(largeBody));
    BOOST_TEST(large.isClosed());
    BOOST_TEST(!small.isClosed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Drain, ServerFixture)

// Guards against a shutdown that aborts a request in progress.
BOOST_AUTO_TEST_CASE(CompletesAfterRequestsInFlight)
{
    std::optional<Result<HttpResponse>> response;
    HttpRequest request;
    request.target = "/slow";
    boost::asio::co_spawn(context, client.call(address, request),
        [&](std::exception_ptr, Result<HttpResponse> result) { response = std::move(result); });
    while (server.activeRequests() == 0)
        context.run_one();
    runAwaitable(context, server.drain());
    while (!response)
        context.run_one();
    BOOST_REQUIRE(response->has_value());
    BOOST_TEST((*response)->status == 200u);
    BOOST_TEST(call("GET", "/echo").has_error());
}

// Guards against a shutdown that cuts off requests which have just arrived: on a connection that is not accepted yet,
// and on one that was idle.
BOOST_AUTO_TEST_CASE(AnswersRequestsThatHaveJustArrived)
{
    namespace asio = boost::asio;
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), address.port);
    asio::ip::tcp::socket idle(context);
    idle.connect(endpoint);
    context.restart();
    context.run_for(20ms);
    asio::ip::tcp::socket fresh(context);
    fresh.connect(endpoint);
    for (auto* it : { &idle, &fresh })
        asio::write(*it, asio::buffer(std::string_view("GET /echo HTTP/1.1\r\nHost: a\r\n\r\n")));
    runAwaitable(context, server.drain());
    context.restart();
    context.run_for(20ms);
    for (auto* it : { &idle, &fresh }) {
        std::string response;
        boost::system::error_code ec;
        asio::read(*it, asio::dynamic_buffer(response), ec);
        BOOST_TEST(response.starts_with("HTTP/1.1 200"));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
