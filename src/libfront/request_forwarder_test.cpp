#include "front_test_support.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(RequestForwarderTests, FrontFixture)

BOOST_AUTO_TEST_CASE(ReturnsTheUpstreamResponse)
{
    addUpstream({ okResponse });
    auto response = call("/once/x");
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 200u);
    BOOST_TEST(response->body == "whole");
    BOOST_TEST(response->headers.find("X-Seal").value() == "s");
}

BOOST_AUTO_TEST_CASE(Returns404WithoutARoute)
{
    addUpstream({ okResponse });
    BOOST_TEST(call("/nowhere/x")->status == 404u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against requests that wait behind more requests than the upstream can serve in time.
BOOST_AUTO_TEST_CASE(RejectsWhileTheUpstreamIsOverloaded)
{
    addUpstream({ okResponse });
    state.upstreamLoads().recordStart("u1", { .sent = clock.now() - 2s });
    auto response = call("/once/x");
    BOOST_TEST(response->status == 503u);
    BOOST_TEST(response->headers.find("Retry-After").has_value());
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against an upstream that is taken for overloaded by requests that were never sent, since an exception ended
// them.
BOOST_AUTO_TEST_CASE(CountsNoRequestThatAnExceptionEnded)
{
    addUpstream({ okResponse });
    format.failsToEncode = true;
    BOOST_TEST(call("/once/x")->status == 500u);
    BOOST_TEST(state.upstreamLoads().inFlight("u1") == 0u);
    format.failsToEncode = false;
    BOOST_TEST(call("/once/x")->status == 200u);
}

// Guards against requests to an upstream that announced in a response that it is shutting down.
BOOST_AUTO_TEST_CASE(SkipsAnUpstreamThatIsShuttingDown)
{
    addUpstream({ okResponseWhileLeaving, okResponse });
    addUpstream({ okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
    BOOST_TEST(upstreams[1]->received().size() == 1u);
}

// Guards against requests to an upstream that announced its shutdown in the refusal of a request that was not for it.
BOOST_AUTO_TEST_CASE(SkipsAnUpstreamThatIsShuttingDownAndMisdirected)
{
    addUpstream({ rawResponse("421 Misdirected", "X-Id: 7\r\nX-Not-Run: 1\r\nX-Leaving: 1\r\n", ""), okResponse });
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

BOOST_AUTO_TEST_SUITE(UpstreamSendsRetryAfter)

// Guards against retries and new requests during the pause that an upstream asked for.
BOOST_AUTO_TEST_CASE(UsesAnotherUpstream)
{
    addUpstream({ notExecutedWithRetryAfter, okResponse });
    addUpstream({ okResponse, okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

// Guards against clients that wait, or retry too early, while all upstreams pause.
BOOST_AUTO_TEST_CASE(RejectsWhileAllUpstreamsPause)
{
    addUpstream({ notExecutedWithRetryAfter });
    for (int i = 0; i < 2; ++i) {
        auto response = call("/once/x");
        BOOST_TEST(response->status == 503u);
        const auto pause = std::stoi(response->headers.find("X-Retry-Ms").value());
        BOOST_TEST(pause > 20'000);
        BOOST_TEST(pause <= 30'000);
    }
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamStatesARateLimit)

// Guards against requests without a permit to an upstream that limits its requests.
BOOST_AUTO_TEST_CASE(UsesItOnlyWithAPermit)
{
    addUpstream({ okResponseWithLimit, okResponseWithLimit, okResponseWithLimit });
    addUpstream({ okResponse, okResponse });
    permits.left = 1;
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 2u);
    BOOST_TEST(permits.asked == 2u);
}

// Guards against a request that is sent on a permit which became void while this instance was paused.
BOOST_AUTO_TEST_CASE(GetsNothingOnAVoidPermit)
{
    addUpstream({ okResponseWithLimit, okResponse });
    addUpstream({ okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
    permits.left = 1;
    permits.permit = { .sendBy = clock.bootNow() };
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

// Guards against clients that wait, or that do not learn when to retry, while no upstream may get a request.
BOOST_AUTO_TEST_CASE(RejectsAtOnceWhileAllUpstreamsLackAPermit)
{
    addUpstream({ okResponseWithLimit });
    BOOST_TEST(call("/once/x")->status == 200u);
    for (int i = 0; i < 2; ++i) {
        auto response = call("/once/x");
        BOOST_TEST(response->status == 503u);
        BOOST_TEST(std::stoi(response->headers.find("X-Retry-Ms").value()) > 29'000);
    }
    BOOST_TEST(permits.asked == 1u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

// Guards against the rejection of a request that the next permit serves in time.
BOOST_AUTO_TEST_CASE(WaitsForAPermitThatComesSoon)
{
    addUpstream({ okResponseWithLimit, okResponse, okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
    permits.retryAfter = std::chrono::milliseconds(100);
    boost::asio::steady_timer timer(context, std::chrono::milliseconds(50));
    timer.async_wait([&](boost::system::error_code) { permits.left = 1; });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(permits.asked == 2u);
    BOOST_TEST(call("/once/x")->status == 200u); // The last response states no limit.
    BOOST_TEST(permits.asked == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NonIdempotentRequest)

// Guards against a call that is executed twice, and against an error response which states that it was not executed.
BOOST_AUTO_TEST_CASE(IsNotRetriedAfterALostResponse)
{
    addUpstream({ "" }, true);
    addUpstream({ okResponse });
    BOOST_TEST(call("/once/x")->status == 502u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(IsRetriedIfTheUpstreamDidNotExecuteIt)
{
    addUpstream({ notExecutedResponse });
    addUpstream({ okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
}

BOOST_AUTO_TEST_CASE(GetsRetryAfterWhenAllUpstreamsRefuse)
{
    addUpstream({ notExecutedResponse });
    auto response = call("/once/x");
    BOOST_TEST(response->status == 503u);
    BOOST_TEST(response->headers.find("Retry-After").has_value());
}

// Guards against forwarding a 503 that does not say whether the call was executed, since clients take it to mean that
// it was not.
BOOST_AUTO_TEST_CASE(Gets502ForA503WithoutNotExecutedHeader)
{
    addUpstream({ rawResponse("503 Busy", "X-Id: 7\r\nX-Seal: s\r\n", "") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(IdempotentRequest)

BOOST_AUTO_TEST_CASE(IsRetriedAfterAServerError)
{
    addUpstream({ serverErrorResponse });
    addUpstream({ okResponse });
    BOOST_TEST(call("/read/x")->status == 200u);
}

BOOST_AUTO_TEST_CASE(GetsTheUpstreamErrorWhenAllFail)
{
    addUpstream({ serverErrorResponse });
    addUpstream({ serverErrorResponse });
    auto response = call("/read/x");
    BOOST_TEST(response->status == 500u);
    BOOST_TEST(response->headers.find("X-Seal").value() == "s");
}

// Guards against a client that waits for a lost response.
BOOST_AUTO_TEST_CASE(IsRetriedWithoutAResponseWithinTheLatencyObjective)
{
    addUpstream({ "" });
    addUpstream({ okResponse });
    BOOST_TEST(call("/read/x")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(DiscardsAResponse)

BOOST_AUTO_TEST_CASE(ForAnotherRequest)
{
    addUpstream({ rawResponse("200 OK", "X-Id: 6\r\nX-Seal: s\r\n", "stray") + okResponse });
    BOOST_TEST(call("/once/x")->body == "whole");
}

BOOST_AUTO_TEST_CASE(WithoutResponseSeal)
{
    addUpstream({ rawResponse("200 OK", "X-Id: 7\r\n", "x") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(WithContentEncoding)
{
    addUpstream({ rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n", "x") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(ThatIsTruncated)
{
    addUpstream({ "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nshort" }, true);
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EventStream)

BOOST_AUTO_TEST_CASE(IsRelayedByteForByte)
{
    addUpstream({ streamResponseHead + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x")->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a truncated stream that looks complete.
BOOST_AUTO_TEST_CASE(ClosesTheConnectionWhenTheUpstreamDisconnects)
{
    addUpstream({ streamResponseHead + chunk("id: 1\ndata: a\n\nid: 2\nda") }, true);
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against an event without end, which fills the memory of the instance or keeps its client waiting until the
// deadline.
BOOST_AUTO_TEST_CASE(ClosesTheConnectionForAnOversizedEvent)
{
    const std::string endless(4 * 1024 * 1024, 'a');
    addUpstream({ streamResponseHead + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: " + endless) });
    const auto started = clock.now();
    BOOST_TEST(call("/events/x").has_error());
    BOOST_TEST((clock.now() - started < 3000ms));
}

// Guards against missing or repeated events when a stream is resumed on another upstream.
BOOST_AUTO_TEST_CASE(ResumesAfterTheLastCompleteEvent)
{
    addUpstream({ streamResponseHead + chunk("id: 1\ndata: a\n\nid: 2\nda") }, true);
    addUpstream({ streamResponseHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
    BOOST_TEST(call("/resumable/x")->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(upstreams[1]->received().front().find("X-After: 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamClosesTheConnection)

// Guards against a crash that is missed because the connections of the process end before its listening socket.
BOOST_AUTO_TEST_CASE(CountsAsACrashIfItSoonStopsListening)
{
    auto& upstream = addUpstream({ "" }, true);
    boost::asio::steady_timer timer(context, 20ms);
    BOOST_TEST(call("/once/x")->status == 502u);
    timer.async_wait([&](boost::system::error_code) { upstream.stopListening(); });
    runFor(300ms);
    BOOST_TEST(state.crashSuspects().crashes().size() == 1u);
}

// Guards against requests that are quarantined because an upstream closes connections.
BOOST_AUTO_TEST_CASE(CountsAsNoCrashWhileItListens)
{
    addUpstream({ "" }, true);
    BOOST_TEST(call("/once/x")->status == 502u);
    runFor(300ms);
    BOOST_TEST(state.crashSuspects().crashes().empty());
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a request that crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(RejectsARequestThatCrashedUpstreams)
{
    addUpstream({ okResponse });
    const ServingRequest request { .host = "host" };
    const auto suspects = suspectsOf(request, requestDigest(request, "/once/x", ""));
    state.recordCrash("u1", 1, suspects);
    state.recordCrash("u1", 2, suspects);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
    BOOST_TEST(call("/once/y")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
