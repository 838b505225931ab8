#include "raw_server.h"
#include "resetting_server.h"
#include "test_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(Client)

BOOST_FIXTURE_TEST_SUITE(Streams, ServerFixture)

BOOST_AUTO_TEST_CASE(ReadAllReturnsTheChunkedBody)
{
    HttpRequest request;
    request.target = "/stream";
    auto stream = runAwaitable(context, client.open(address, request));
    BOOST_REQUIRE(stream);
    BOOST_TEST(runAwaitable(context, (*stream)->readAll()).value() == "one two three");
}

// Guards against treating a connection that closes early as the end of the response body.
BOOST_AUTO_TEST_CASE(TruncatedBodyIsAFailure)
{
    auto response = call("GET", "/cut");
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::ConnectionClosed));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Verdicts, ServerFixture)

BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotRun)
{
    runAwaitable(context, server.drain());
    auto response = call("POST", "/echo", "x");
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().verdict == Verdict::NotRun));
}

BOOST_AUTO_TEST_CASE(TimeoutAfterSendingMayHaveRun)
{
    auto response = call("GET", "/slow", {}, { .progressTimeout = 20ms });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::Timeout));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(handler.requests() == 1);
}

// Guards against "not run" for a request that the server had read when its connection broke.
BOOST_AUTO_TEST_CASE(ConnectionThatBreaksAfterSendingMayHaveRun)
{
    RawServer closing(context, { "" }, true);
    auto response = runAwaitable(context, client.call(closing.address(), HttpRequest()));
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST(closing.received().size() == 1u);
}

BOOST_AUTO_TEST_CASE(ExpiredDeadlineSendsNothing)
{
    auto response = call("GET", "/echo", {}, { .deadline = clock.now() - 1ms });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().verdict == Verdict::NotRun));
    BOOST_TEST(handler.requests() == 0);
}

// Guards against a request that is sent although the permission for it ended while its sender was suspended.
BOOST_AUTO_TEST_CASE(SuspensionWhileConnectingSendsNothing)
{
    ManualClock suspendedClock;
    HttpClient suspended(context, suspendedClock);
    std::optional<Result<HttpResponse>> response;
    boost::asio::co_spawn(context, suspended.call(address, HttpRequest(), { .sendBy = suspendedClock.bootNow() + 1s }),
        [&](std::exception_ptr, Result<HttpResponse> result) { response.emplace(std::move(result)); });
    boost::asio::post(context, [&] { suspendedClock.suspend(1s); });
    context.restart();
    context.run_for(100ms);
    BOOST_REQUIRE(response.has_value());
    BOOST_REQUIRE(response->has_error());
    BOOST_TEST((response->error().verdict == Verdict::NotRun));
    BOOST_TEST(handler.requests() == 0);
}

BOOST_AUTO_TEST_CASE(OversizedResponseIsAFailure)
{
    auto response = call("POST", "/echo", std::string(100, 'x'), { .bodyLimit = 10 });
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code == Errc::TooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

struct RawFixture {
    boost::asio::io_context context;
    SystemClock clock;
    HttpClient client { context, clock };

    Result<HttpResponse> call(const RawServer& server, HttpCallOptions options = {}, std::string body = {})
    {
        HttpRequest request;
        request.method = body.empty() ? "GET" : "POST";
        request.body = std::move(body);
        options.deadline = clock.now() + 10s;
        return runAwaitable(context, client.call(server.address(), std::move(request), options));
    }

    void callWithId(const RawServer& server, std::string id)
    {
        HttpRequest request;
        request.id = std::move(id);
        const auto response = runAwaitable(context, client.call(server.address(), std::move(request)));
        BOOST_REQUIRE(response);
    }
};

const std::string responseText(std::string_view body, std::string_view fields = "")
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + std::string(fields) + "\r\n"
        + std::string(body);
}

} // namespace

namespace {

constexpr std::size_t longBodySize = 4'000'000; // bytes; more than the socket buffers of both sides take
const std::string partOfBody(400, 'x');
const std::string unframedResponse = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + partOfBody;
const std::string unframedStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + partOfBody;

struct EarlyResponseFixture : RawFixture {
    Result<HttpResponse> upload(ResettingServer::Options serverOptions, HttpCallOptions options = {})
    {
        const ResettingServer server(context, std::move(serverOptions));
        HttpRequest request { .method = "POST", .target = "/", .body = std::string(longBodySize, 'b') };
        options.deadline = std::min(options.deadline, clock.now() + 10s);
        options.isCloseDelimitedBodyAccepted = true;
        return runAwaitable(context, client.call(server.address(), std::move(request), options));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ResponsesToAnUploadThatIsStillBeingWritten, EarlyResponseFixture)

// Guards against a part of a body that counts as the whole one: the write that was pending learns of the reset, and the
// read sees an end of the connection in order.
BOOST_AUTO_TEST_CASE(AreIncompleteIfTheConnectionIsReset)
{
    for (const auto& response : { unframedResponse, unframedStream }) {
        for (const auto pause : { 0ms, 1ms, 20ms, 300ms }) {
            const auto result = upload({ .response = response, .pause = pause });
            BOOST_REQUIRE(result.has_error());
            BOOST_CHECK(result.error().code == Errc::ConnectionClosed);
            BOOST_CHECK(result.error().verdict == Verdict::MayHaveRun);
        }
    }
}

BOOST_AUTO_TEST_CASE(AreCompleteIfTheServerReadsTheUploadAndEndsInOrder)
{
    const auto result = upload({ .response = unframedResponse, .readsWholeRequest = true });
    BOOST_REQUIRE(result);
    BOOST_TEST(result->body == partOfBody);
}

// Guards against a response that is held back although its length says that it is whole.
BOOST_AUTO_TEST_CASE(AreCompleteByTheirLength)
{
    const auto result = upload({ .response = responseText("whole"), .pause = 300ms });
    BOOST_REQUIRE(result);
    BOOST_TEST(result->body == "whole");
    BOOST_TEST(client.connectionCounts().idle == 0U);
}

// Guards against a call that waits for its upload longer than its caller does.
BOOST_AUTO_TEST_CASE(AreAwaitedUntilTheDeadline)
{
    const auto begun = clock.now();
    const auto result = upload({ .response = unframedResponse, .halfClosePause = 3s }, { .deadline = begun + 500ms });
    BOOST_REQUIRE(result.has_error());
    BOOST_CHECK(result.error().code == Errc::Timeout);
    BOOST_TEST((clock.now() - begun < 2s));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StatusesThatHttpDoesNotDefine, RawFixture)

// Guards against three digits that mean nothing and that count as a response.
BOOST_AUTO_TEST_CASE(AreNoResponse)
{
    for (const auto* status : { "000", "001", "099", "600", "999" }) {
        for (const auto* framing : { "Content-Length: 5\r\n\r\nwhole", "\r\nwhole" }) {
            const RawServer server(context, { "HTTP/1.1 " + std::string(status) + " X\r\n" + framing }, true);
            const auto response = call(server, { .isCloseDelimitedBodyAccepted = true });
            BOOST_REQUIRE_MESSAGE(response.has_error(), status);
            BOOST_CHECK(response.error().code == Errc::Malformed);
            BOOST_CHECK(response.error().verdict == Verdict::MayHaveRun);
        }
    }
    BOOST_TEST(client.connectionCounts().open == 0U);
}

BOOST_AUTO_TEST_CASE(AreTheOnlyOnesThatAreRejected)
{
    for (const auto* status : { "200", "299", "418", "599" }) {
        const RawServer server(context, { "HTTP/1.1 " + std::string(status) + " X\r\nContent-Length: 0\r\n\r\n" });
        BOOST_TEST(call(server)->status == std::stoul(status));
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Connections, RawFixture)

BOOST_AUTO_TEST_CASE(KeepAliveConnectionIsReused)
{
    RawServer server(context, { responseText("a"), responseText("b") });
    BOOST_TEST(call(server)->body == "a");
    BOOST_TEST(call(server)->body == "b");
    BOOST_TEST(server.connections() == 1u);
}

// Guards against sending a request on a connection that the server is about to close: the request would be lost.
BOOST_AUTO_TEST_CASE(NotReusedAfterTheAdvertisedIdleTimeout)
{
    RawServer server(context, { responseText("a", "Keep-Alive: timeout=0\r\n"), responseText("b") });
    BOOST_TEST(call(server)->body == "a");
    BOOST_TEST(call(server)->body == "b");
    BOOST_TEST(server.connections() == 2u);
}

// Guards against the server reading the remaining bytes of a long request as the next request.
BOOST_AUTO_TEST_CASE(NotReusedWhileTheRequestIsStillBeingSent)
{
    RawServer server(context, { responseText("early"), responseText("b") }, false, 1);
    BOOST_TEST(call(server, {}, std::string(16 * 1024 * 1024, 'x'))->body == "early");
    BOOST_TEST(call(server)->body == "b");
    BOOST_TEST(server.connections() == 2u);
}

// Guards against a copy of an earlier response that is taken for the response to a later request with the same id.
BOOST_AUTO_TEST_CASE(NotReusedForARequestIdThatItHasCarried)
{
    RawServer server(context, std::vector(5, responseText("a")));
    callWithId(server, "1");
    callWithId(server, "2");
    BOOST_TEST(server.connections() == 1u);
    BOOST_TEST(client.hasIdleConnection(server.address(), SteadyTime::max(), "3"));
    BOOST_TEST(!client.hasIdleConnection(server.address(), SteadyTime::max(), "1"));
    callWithId(server, "1");
    BOOST_TEST(server.connections() == 2u);
    callWithId(server, "2");
    callWithId(server, "");
    BOOST_TEST(server.connections() == 2u);
}

// Guards against idle connections that accumulate, at the cost of those to other servers, when callers use one id.
BOOST_AUTO_TEST_CASE(ReplacedByTheNewOneIfNoneMayCarryTheRequestId)
{
    RawServer server(context, std::vector(10, responseText("a")));
    for (int i = 0; i < 10; ++i)
        callWithId(server, "1");
    BOOST_TEST(server.connections() == 10u);
    BOOST_TEST(client.connectionCounts().open == 1u);
}

// Guards against ids that are kept without bound for a connection in continuous use.
BOOST_AUTO_TEST_CASE(NotReusedAfterManyRequestIds)
{
    constexpr unsigned idsPerConnection = 1024;
    RawServer server(context, std::vector(2 * idsPerConnection + 1, responseText("a")));
    for (unsigned i = 0; i < 2 * idsPerConnection + 1; ++i)
        callWithId(server, std::to_string(i));
    BOOST_TEST(server.connections() == 3u);
}

// Guards against reading unexpected bytes after a response as the response to the next request.
BOOST_AUTO_TEST_CASE(NotReusedWithUnreadInput)
{
    RawServer server(context, { responseText("a") + "HTTP/1.1 200 OK\r\n", responseText("b") });
    BOOST_TEST(call(server)->body == "a");
    BOOST_TEST(call(server)->body == "b");
    BOOST_TEST(server.connections() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

namespace {

/// A client whose clock the test sets.
struct PoolFixture {
    static constexpr std::size_t servers = 20;

    boost::asio::io_context context;
    ManualClock clock;
    HttpClient client { context, clock };

    void call(const RawServer& server)
    {
        BOOST_REQUIRE(runAwaitable(context, client.call(server.address(), HttpRequest())));
    }

    /// Calls one server after the other; each is gone after its response, and so is its connection.
    void callServersThatLeave()
    {
        for (std::size_t i = 0; i < servers; ++i) {
            RawServer server(context, { responseText("a") }, true);
            call(server);
        }
        context.restart();
        context.run_for(20ms);
    }
};

} // namespace

// Guards against descriptors that are never freed because no request goes to their address any more.
BOOST_FIXTURE_TEST_SUITE(IdleConnections, PoolFixture)

BOOST_AUTO_TEST_CASE(ThatTheServerClosedAreClosedSoon)
{
    callServersThatLeave();
    RawServer last(context, { responseText("a") });
    clock.advance(5s);
    call(last);
    BOOST_TEST((client.connectionCounts() == HttpConnectionCounts { .open = 1, .idle = 1, .evicted = servers }));
}

BOOST_AUTO_TEST_CASE(AreClosedAfterALongTimeWhateverTheirAddress)
{
    std::vector<std::unique_ptr<RawServer>> open;
    for (std::size_t i = 0; i < servers; ++i) {
        open.push_back(std::make_unique<RawServer>(context, std::vector { responseText("a") }));
        call(*open.back());
    }
    BOOST_TEST(client.connectionCounts().idle == servers);
    RawServer last(context, { responseText("a") });
    clock.advance(30s);
    call(last);
    BOOST_TEST(client.connectionCounts().open == 1u);
}

BOOST_AUTO_TEST_CASE(AreBoundedInAll)
{
    constexpr std::size_t many = 600;
    std::vector<std::unique_ptr<RawServer>> open;
    for (std::size_t i = 0; i < many; ++i) {
        open.push_back(std::make_unique<RawServer>(context, std::vector { responseText("a") }));
        call(*open.back());
        clock.advance(1ms);
    }
    BOOST_TEST(client.connectionCounts().idle == 512u);
    BOOST_TEST(client.connectionCounts().open == 512u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(CloseDelimitedBodies, RawFixture)

const std::string closeDelimited = "HTTP/1.1 200 OK\r\n\r\nwhole";

BOOST_AUTO_TEST_CASE(RejectedByDefault)
{
    RawServer server(context, { closeDelimited }, true);
    BOOST_TEST(call(server).has_error());
}

BOOST_AUTO_TEST_CASE(AcceptedOnRequest)
{
    RawServer server(context, { closeDelimited }, true);
    auto response = call(server, { .isCloseDelimitedBodyAccepted = true });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body == "whole");
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against unbounded memory use or a hanging call when a server sends an endless header, body or series of
// interim responses.
BOOST_FIXTURE_TEST_SUITE(UnboundedResponses, RawFixture)

const std::string endless(8 * 1024 * 1024, 'a');

void checkIsAborted(RawFixture& fixture, std::string text, HttpCallOptions options = {})
{
    RawServer server(fixture.context, { std::move(text) });
    const auto started = fixture.clock.now();
    const auto response = fixture.call(server, options);
    BOOST_REQUIRE(response.has_error());
    BOOST_TEST((response.error().code != Errc::Timeout));
    BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    BOOST_TEST((fixture.clock.now() - started < 10s));
}

BOOST_AUTO_TEST_CASE(AbortedBeforeTheStatusLine) { checkIsAborted(*this, endless); }

BOOST_AUTO_TEST_CASE(AbortedInAHeaderLine) { checkIsAborted(*this, "HTTP/1.1 200 OK\r\nX: " + endless); }

BOOST_AUTO_TEST_CASE(AbortedInManyHeaderLines)
{
    std::string text = "HTTP/1.1 200 OK\r\n";
    for (int i = 0; i < 100'000; ++i)
        text += "X-" + std::to_string(i) + ": a\r\n";
    checkIsAborted(*this, std::move(text));
}

BOOST_AUTO_TEST_CASE(AbortedInInterimResponses)
{
    std::string text;
    for (int i = 0; i < 100'000; ++i)
        text += "HTTP/1.1 103 Early Hints\r\n\r\n";
    checkIsAborted(*this, std::move(text));
}

BOOST_AUTO_TEST_CASE(AbortedInAChunkExtension)
{
    checkIsAborted(*this, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + endless);
}

BOOST_AUTO_TEST_CASE(AbortedInACloseDelimitedBody)
{
    checkIsAborted(
        *this, "HTTP/1.1 200 OK\r\n\r\n" + endless, { .isCloseDelimitedBodyAccepted = true, .bodyLimit = 100'000 });
}

// Guards against many endless bodies that are kept at the same time until the memory of the instance is used up.
BOOST_AUTO_TEST_CASE(TakeABoundedAmountOfMemoryTogether)
{
    constexpr std::size_t limit = 4 * 1024 * 1024; // bytes
    constexpr std::size_t calls = 16;
    const auto budget = std::make_shared<BufferBudget>(limit);
    const std::vector<std::string> responses(calls, "HTTP/1.1 200 OK\r\n\r\n" + endless);
    RawServer server(context, responses);
    std::size_t failed = 0;
    std::size_t mostUsed = 0;
    for (std::size_t i = 0; i < calls; ++i) {
        const HttpCallOptions options {
            .deadline = clock.now() + 10s, .isCloseDelimitedBodyAccepted = true, .bufferBudget = budget
        };
        boost::asio::co_spawn(context, client.call(server.address(), HttpRequest(), options),
            [&](std::exception_ptr, Result<HttpResponse> result) { failed += result.has_error() ? 1 : 0; });
    }
    while (failed < calls && context.run_one() > 0)
        mostUsed = std::max(mostUsed, budget->used());
    BOOST_TEST(failed == calls);
    BOOST_TEST(mostUsed <= limit);
    BOOST_TEST(budget->used() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against an exception that ends the process: a faulty server announces a body that cannot be allocated.
BOOST_FIXTURE_TEST_SUITE(AnnouncedLengthsThatCannotBeAllocated, RawFixture)

const std::vector<std::string> impossibleLengths { "1000000000000", "1000000000000000", "9223372036854775807",
    "18446744073709551614" };

std::string announcing(const std::string& length)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\nwhole";
}

BOOST_AUTO_TEST_CASE(AreRejectedWithoutWaitingForTheBody)
{
    for (const auto& length : impossibleLengths) {
        RawServer server(context, { announcing(length) });
        const auto response = call(server);
        BOOST_REQUIRE(response.has_error());
        BOOST_TEST((response.error().code == Errc::TooLarge), length);
        BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    }
}

BOOST_AUTO_TEST_CASE(AreTruncationsOfAStream)
{
    for (const auto& length : impossibleLengths) {
        RawServer server(context, { announcing(length) }, true);
        auto stream = runAwaitable(context, client.open(server.address(), HttpRequest(), {}));
        BOOST_REQUIRE(stream);
        BOOST_TEST(runAwaitable(context, (*stream)->read()).value().value() == "whole");
        BOOST_TEST((runAwaitable(context, (*stream)->read()).error().code == Errc::ConnectionClosed));
    }
}

BOOST_AUTO_TEST_CASE(OfChunksAreTruncationsOfABody)
{
    for (const std::string size : { "E8D4A51000", "7FFFFFFFFFFFFFFF", "FFFFFFFFFFFFFFFF" }) {
        RawServer server(
            context, { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + size + "\r\nwhole" }, true);
        const auto response = call(server);
        BOOST_REQUIRE(response.has_error());
        BOOST_TEST((response.error().verdict == Verdict::MayHaveRun));
    }
}

BOOST_AUTO_TEST_CASE(OfStaleResponsesEndTheCall)
{
    RawServer server(context, { announcing(impossibleLengths.back()) });
    auto stream = runAwaitable(context, client.open(server.address(), HttpRequest(), {}));
    BOOST_REQUIRE(stream);
    BOOST_TEST(runAwaitable(context, (*stream)->nextResponse()).has_error());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(StaleResponses, RawFixture)

// Guards against returning the late response to an earlier request to the caller of this request.
BOOST_AUTO_TEST_CASE(NextResponseSkipsAStaleResponse)
{
    RawServer server(context, { responseText("stray", "X-Id: 1\r\n") + responseText("own", "X-Id: 2\r\n") });
    auto stream = runAwaitable(context, client.open(server.address(), HttpRequest(), {}));
    BOOST_REQUIRE(stream);
    BOOST_TEST((*stream)->headers().find("X-Id").value() == "1");
    BOOST_REQUIRE(runAwaitable(context, (*stream)->nextResponse()));
    BOOST_TEST((*stream)->headers().find("X-Id").value() == "2");
    BOOST_TEST(runAwaitable(context, (*stream)->readAll()).value() == "own");
}

// Guards against waiting for a body that the response to a HEAD request does not have.
BOOST_AUTO_TEST_CASE(NextResponseToAHeadRequestHasNoBody)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    RawServer server(context, { head + head });
    HttpRequest request { .method = "HEAD" };
    const HttpCallOptions options { .deadline = clock.now() + 1s };
    auto stream = runAwaitable(context, client.open(server.address(), std::move(request), options));
    BOOST_REQUIRE(stream);
    BOOST_REQUIRE(runAwaitable(context, (*stream)->nextResponse()));
    BOOST_TEST(runAwaitable(context, (*stream)->readAll()).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Cancellation, ServerFixture)

// Guards against an upstream that keeps processing a request whose caller has disconnected.
BOOST_AUTO_TEST_CASE(CancelAbortsAPendingCall)
{
    auto cancellation = std::make_shared<HttpCancellation>();
    std::optional<Result<HttpResponse>> response;
    HttpRequest request;
    request.target = "/slow";
    HttpCallOptions options;
    options.cancellation = cancellation;
    boost::asio::co_spawn(context, client.call(address, request, options),
        [&](std::exception_ptr, Result<HttpResponse> result) { response = std::move(result); });
    while (server.activeRequests() == 0)
        context.run_one();
    cancellation->cancel();
    while (!response)
        context.run_one();
    BOOST_REQUIRE(response->has_error());
    BOOST_CHECK(response->error().verdict == Verdict::MayHaveRun);
    auto later = call("GET", "/echo", {}, options);
    BOOST_REQUIRE(later.has_error());
    BOOST_CHECK(later.error().verdict == Verdict::NotRun);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
