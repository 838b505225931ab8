#include "front_test_support.h"
#include "resetting_server.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const std::string firstEvent = "id: 1\ndata: a\n\n";
const std::string secondEvent = "id: 2\ndata: b\n\n";
const std::string noContentStream
    = "HTTP/1.1 204 No Content\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\n";
const std::string refusalWithoutId = rawResponse("503 Busy", "X-Not-Run: 1\r\n", "");

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultyResponses, FrontFixture)

BOOST_AUTO_TEST_SUITE(UpstreamRepeatsAnEarlierRefusal)

BOOST_AUTO_TEST_CASE(IsDiscardedIfItNamesTheEarlierRequest)
{
    addUpstream({ notExecutedResponse, notExecutedResponse + okResponseTo8 });
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(call("/once/x", "8")->body == "whole");
    BOOST_TEST(upstreams[0]->connections() == 1u);
}

// Guards against "not run" for a request that the upstream is running.
BOOST_AUTO_TEST_CASE(IsNoRefusalIfItNamesNoRequest)
{
    addUpstream({ okResponse, refusalWithoutId });
    addUpstream({ okResponseTo8 });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(call("/once/x", "8")->status == 502u);
    BOOST_TEST(upstreams[0]->connections() == 1u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

// Guards against the response to another request, and against a pause that it announces.
BOOST_AUTO_TEST_CASE(IsNoResponseIfItNamesNoRequest)
{
    for (const auto* status : { "200 OK", "404 None", "500 Error" }) {
        FrontFixture front;
        front.addUpstream({ okResponse, rawResponse(status, "X-Seal: s\r\nX-Pause: 30\r\n", "other") });
        BOOST_TEST(front.call("/once/x")->status == 200u);
        BOOST_TEST(front.call("/once/x", "8")->status == 502u, status);
        BOOST_TEST(front.state.directory().countAnnouncements().pausing == 0u);
    }
}

BOOST_AUTO_TEST_CASE(IsARefusalOnANewConnection)
{
    addUpstream({ refusalWithoutId });
    BOOST_TEST(call("/once/x")->status == 503u);
}

// Guards against a pause or a departure that a response to an earlier request announces, and against one that is missed
// because such a response came first.
BOOST_AUTO_TEST_CASE(SaysNothingAboutTheUpstreamNow)
{
    addUpstream(
        { notExecutedWithRetryAfter + rawResponse("200 OK", "X-Id: 8\r\nX-Seal: s\r\nX-Leaving: 1\r\n", "whole") });
    BOOST_TEST(call("/once/x", "8")->status == 200u);
    BOOST_TEST(state.directory().countAnnouncements().pausing == 0u);
    BOOST_TEST(state.directory().countAnnouncements().leaving == 1u);
}

BOOST_AUTO_TEST_SUITE(WhenTheRefusedRequestComesBack)

// Guards against telling a caller that a request has not run which the upstream is running.
BOOST_AUTO_TEST_CASE(DoesNotRefuseTheRequestThatRuns)
{
    for (const auto* status :
        { "503 Busy", "429 Many", "408 Late", "421 Misdirected", "400 Bad", "413 Large", "500 Error" }) {
        const auto refusal = rawResponse(status, "X-Id: 7\r\nX-Not-Run: 1\r\n", "refused");
        FrontFixture front;
        auto& upstream = front.addRefusingUpstream(refusal, okResponse);
        const auto refused = front.call("/once/x");
        const auto served = upstream.runs() > 0 ? refused : front.call("/once/x");
        BOOST_TEST(served->status == 200u, status);
        BOOST_TEST(upstream.runs() == 1u, status);
    }
}

// Guards against a second run, at another upstream, of a request that the first one is running.
BOOST_AUTO_TEST_CASE(DoesNotSendTheRequestThatRunsToAnotherUpstream)
{
    auto& first = addRefusingUpstream(notExecutedResponse, okResponse);
    auto& second = addRefusingUpstream(notExecutedResponse, okResponse);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(first.runs() + second.runs() == 1u);
}

BOOST_AUTO_TEST_CASE(DoesNotRefuseAStreamThatRuns)
{
    const auto stream = streamResponseHead + chunk(firstEvent) + chunk("");
    auto& upstream = addRefusingUpstream(notExecutedResponse, stream);
    BOOST_TEST(call("/events/x")->status == 503u);
    BOOST_TEST(call("/events/x")->body == firstEvent);
    BOOST_TEST(upstream.runs() == 1u);
}

// Guards against a copy of an earlier success that is delivered for the same request.
BOOST_AUTO_TEST_CASE(IsNotDeliveredIfItIsASuccess)
{
    const auto earlier = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\n", "earlier");
    addRefusingUpstream(earlier, okResponse);
    BOOST_TEST(call("/read/x")->body == "earlier");
    BOOST_TEST(call("/read/x")->body == "whole");
}

// Guards against other instances that are told of more refusals than there were.
BOOST_AUTO_TEST_CASE(IsNotCountedAsARefusalOfTheUpstream)
{
    const auto brittle = rawResponse("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\nX-Brittle: 3\r\n", "");
    addRefusingUpstream(brittle, okResponse);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(refusals.upstreams.size() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a refusal of the first attempt that is taken for one of the second attempt at the same upstream.
BOOST_AUTO_TEST_CASE(DoesNotReachALaterAttemptAtTheSameUpstream)
{
    const auto misdirected = rawResponse("421 Misdirected", "X-Id: 7\r\nX-Not-Run: 1\r\n", "");
    addUpstream({ misdirected, okResponse });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->connections() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NextUpstreamOfABrokenStreamFails)

void checkNoErrorInStream(FrontFixture& fixture, const std::string& response)
{
    fixture.addUpstream({ streamResponseHead + chunk(firstEvent) }, true);
    fixture.addUpstream({ response }, true);
    auto result = fixture.call("/resumable/x");
    BOOST_TEST(result.has_error());
    BOOST_TEST(fixture.upstreams[1]->received().size() == 1u);
}

// Guards against an error, or its head, in the middle of a stream, and against a stream that ends as complete.
BOOST_AUTO_TEST_CASE(WithAServerError) { checkNoErrorInStream(*this, serverErrorResponse); }

BOOST_AUTO_TEST_CASE(WithARefusal) { checkNoErrorInStream(*this, notExecutedResponse); }

BOOST_AUTO_TEST_CASE(WithAPlainSuccess) { checkNoErrorInStream(*this, okResponse); }

// Guards against a part of a stream that its caller gets as complete, since the next upstream responds with a success
// that has no body by its status, and whose end proves nothing.
BOOST_AUTO_TEST_CASE(WithASuccessWithoutContentThatIsMarkedAsAStream) { checkNoErrorInStream(*this, noContentStream); }

BOOST_AUTO_TEST_CASE(WithATruncatedHead) { checkNoErrorInStream(*this, streamResponseHead.substr(0, 30)); }

BOOST_AUTO_TEST_CASE(WithAnErrorThatIsMarkedAsAStream)
{
    checkNoErrorInStream(
        *this, "HTTP/1.1 500 Error\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: text/event-stream\r\n\r\ndata: error\n\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamRespondsWithoutContent)

// Guards against the chunks of an empty stream after a head that allows no body; the caller would take them for the
// beginning of the next response.
BOOST_AUTO_TEST_CASE(IsNoStream)
{
    addUpstream({ noContentStream }, true);
    const auto response = call("/events/x");
    BOOST_TEST(response->status == 204u);
    BOOST_TEST(!response->headers.find("Transfer-Encoding").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamClosesInsideTheHead)

// Guards against a success with an empty or short body that is framed as whole.
BOOST_AUTO_TEST_CASE(IsAFailureAtEveryLength)
{
    for (const auto* head : { &closeDelimitedStreamHead, &streamResponseHead, &okResponse }) {
        const auto end = head->find("\r\n\r\n") + 4;
        for (std::size_t n = 1; n < end; n += 7) {
            upstreams.clear();
            addUpstream({ head->substr(0, n) }, true);
            BOOST_TEST(call("/events/x")->status == 502u);
            BOOST_TEST(upstreams[0]->received().size() == 1u);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamRespondsWithAStatusThatIsNone)

const char* const undefinedStatuses[] = { "000 None", "099 None", "600 None", "999 None" };

// Guards against an answer whose status no caller can understand.
BOOST_AUTO_TEST_CASE(IsNoAnswer)
{
    for (const auto* status : undefinedStatuses) {
        FrontFixture front;
        front.addUpstream({ rawResponse(status, "X-Id: 7\r\nX-Seal: s\r\n", "whole") });
        BOOST_TEST(front.call("/once/x")->status == 502u, status);
    }
}

BOOST_AUTO_TEST_CASE(IsNoStream)
{
    for (const auto* status : undefinedStatuses) {
        FrontFixture front;
        const std::string head = "HTTP/1.1 " + std::string(status) + streamResponseHead.substr(15);
        front.addUpstream({ head + chunk(firstEvent) + "0\r\n\r\n" });
        BOOST_TEST(front.call("/events/x")->status == 502u, status);
    }
}

BOOST_AUTO_TEST_CASE(IsReplacedByTheAnswerOfAnotherUpstream)
{
    for (const auto* status : undefinedStatuses) {
        FrontFixture front;
        front.addUpstream({ rawResponse(status, "X-Id: 7\r\nX-Seal: s\r\n", "none") });
        front.addUpstream({ okResponse });
        BOOST_TEST(front.call("/read/x")->body == "whole", status);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UpstreamRespondsEarlyToALongUploadAndResetsTheConnection)

constexpr std::size_t longBodySize = 4'000'000; // bytes; more than the socket buffers of both sides take
const std::string unframedHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\n\r\n";

struct UploadFixture : FrontFixture {
    std::vector<std::unique_ptr<ResettingServer>> resetting;

    void addResettingUpstream(std::string response)
    {
        const ResettingServer::Options options { .response = std::move(response), .pause = 20ms };
        resetting.push_back(std::make_unique<ResettingServer>(context, options));
        state.directory().apply({ .id = "resetting",
            .service = "s",
            .address = resetting.back()->address(),
            .zone = "z",
            .slots = 4,
            .startedAt = 1 });
    }

    /// Moves the upstream to another availability zone than that of the front, so that it is chosen last.
    void moveAway(const std::string& upstream)
    {
        auto entry = *state.directory().find(upstream);
        entry.zone = "y";
        state.directory().apply(entry);
    }

    Result<HttpResponse> upload(const std::string& target)
    {
        HttpRequest request {
            .method = "POST", .target = target, .headers = { { "X-Id", "7" } }, .body = std::string(longBodySize, 'b')
        };
        const Address address { .host = "127.0.0.1", .port = server.port() };
        return runAwaitable(context, client.call(address, std::move(request), { .deadline = clock.now() + 10s }));
    }
};

BOOST_FIXTURE_TEST_SUITE(ThenThePartThatArrived, UploadFixture)

// Guards against a part of a body that the caller gets as a complete answer.
BOOST_AUTO_TEST_CASE(IsNotAnAnswer)
{
    addResettingUpstream(unframedHead + "part");
    BOOST_TEST(upload("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(IsNotAWholeStream)
{
    addResettingUpstream(closeDelimitedStreamHead + firstEvent);
    BOOST_TEST(upload("/events/x").has_error());
}

// Guards against a lost request that another upstream could serve.
BOOST_AUTO_TEST_CASE(IsReplacedByTheAnswerOfAnotherUpstream)
{
    addResettingUpstream(unframedHead + "part");
    addUpstream({ okResponse });
    moveAway("u1");
    BOOST_TEST(upload("/read/x")->body == "whole");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
