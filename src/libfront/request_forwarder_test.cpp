#include "request_forwarder.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/serving/retry_after.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Minimal request format of the tests, with the headers X-Id, X-Seal, X-Not-Run, X-Model, X-Leaving, X-Pause and
/// X-Retry-Ms.
class TestFormat final : public RequestFormat {
public:
    Result<ServingRequest> decode(const HttpRequest& request) const override
    {
        ServingRequest out;
        out.id = request.headers.find("X-Id").value_or("");
        out.host = "host";
        out.path = std::string(request.path());
        out.model = request.headers.find("X-Model").value_or("");
        if (out.id.empty())
            return Failure { .code = Errc::Malformed, .detail = "no id" };
        return out;
    }

    HttpRequest encode(const HttpRequest& request, const ForwardingFields& forwardingFields) const override
    {
        HttpRequest out { .method = request.method, .target = request.target, .body = request.body };
        out.headers.set("X-Id", request.headers.find("X-Id").value());
        if (forwardingFields.resumeAfterEventId)
            out.headers.set("X-After", *forwardingFields.resumeAfterEventId);
        return out;
    }

    UpstreamResponseHead decodeResponseHead(unsigned status, const HttpHeaders& headers) const override
    {
        return { .requestId = headers.find("X-Id").value_or(""),
            .hasResponseSeal = headers.find("X-Seal").has_value(),
            .isNotExecuted = headers.find("X-Not-Run").has_value(),
            .isMisdirected = status == 421,
            .isContentEncoded = headers.find("Content-Encoding").has_value(),
            .isLeaving = headers.find("X-Leaving").has_value(),
            .retryAfter
            = headers.find("X-Pause") ? std::optional(parseRetryAfter(*headers.find("X-Pause"))) : std::nullopt };
    }

    HttpHeaders forwardedResponseHeaders(const HttpHeaders& headers) const override
    {
        HttpHeaders out;
        for (const auto* name : { "X-Id", "X-Seal" }) {
            if (auto value = headers.find(name))
                out.set(name, *value);
        }
        return out;
    }

    void completeErrorResponse(
        HttpResponse& response, const std::string&, std::optional<std::chrono::milliseconds> retryAfter) const override
    {
        if (!retryAfter)
            response.headers.remove("Retry-After");
        else
            response.headers.set("X-Retry-Ms", std::to_string(retryAfter->count()));
    }

    bool isEventStream(const HttpHeaders& headers) const override
    {
        return headers.find("Content-Type").value_or("") == "text/event-stream";
    }
};

class NoAdapters final : public AdapterPlacement {
public:
    boost::asio::awaitable<Result<std::string>> placeAdapter(AdapterDemand, SteadyTime) override
    {
        co_return Failure { .code = Errc::Unavailable };
    }
};

class Ingress final : public HttpHandler {
public:
    explicit Ingress(RequestDependencies dependencies)
        : m_dependencies(dependencies)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        RequestForwarder forwarder(m_dependencies, exchange);
        co_await forwarder.run();
    }

private:
    RequestDependencies m_dependencies;
};

RouteSpec route(const std::string& prefix, CallKind kind, unsigned attemptLimit, bool isResumable = false)
{
    return { .name = prefix,
        .host = "host",
        .prefix = prefix,
        .kind = kind,
        .timeout = 3000ms,
        .latencyObjective = 1000ms,
        .attemptLimit = attemptLimit,
        .isResumable = isResumable,
        .services = { { .service = "s" } } };
}

std::string rawResponse(std::string_view status, std::string_view headers, std::string_view body)
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + std::string(headers)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

const std::string okResponse = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\n", "whole");
const std::string notExecutedResponse = rawResponse("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\n", "");
const std::string okResponseWhileLeaving = rawResponse("200 OK", "X-Id: 7\r\nX-Seal: s\r\nX-Leaving: 1\r\n", "whole");
const std::string notExecutedWithRetryAfter = rawResponse("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\nX-Pause: 30\r\n", "");
const std::string serverErrorResponse = rawResponse("500 Error", "X-Id: 7\r\nX-Seal: s\r\n", "error");

std::string chunk(std::string_view text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

const std::string streamResponseHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: "
                                       "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A front with scripted upstreams on the loopback address.
struct Fixture {
    boost::asio::io_context context;
    SystemClock clock;
    FrontState state { context, clock, "front-1", "z", { .retryRatio = 1, .retrySlack = 100 } };
    HttpClient client { context, clock };
    TestFormat format;
    NoAdapters adapters;
    prometheus::Registry registry;
    FrontMetrics metrics { registry };
    Ingress ingress {
        { .state = state, .client = client, .format = format, .adapters = adapters, .metrics = metrics }
    };
    HttpServer server { context, { .address = { .host = "127.0.0.1", .port = 0 } }, ingress };
    std::vector<std::unique_ptr<RawServer>> upstreams;

    Fixture()
    {
        state.setInstanceCount(1);
        configure();
        BOOST_REQUIRE(!server.start());
    }

    void configure()
    {
        std::vector<RouteSpec> routes { route("/once/", CallKind::NonIdempotent, 1),
            route("/read/", CallKind::Idempotent, 2), route("/events/", CallKind::Stream, 1),
            route("/resumable/", CallKind::Stream, 2, true) };
        state.updateConfiguration(std::make_shared<ServingConfiguration>(
            1, std::move(routes), std::vector<ServiceSpec> { { .name = "s" } }, RequestLimits()));
    }

    RawServer& addUpstream(std::vector<std::string> responses, bool isClosing = false)
    {
        upstreams.push_back(std::make_unique<RawServer>(context, std::move(responses), isClosing));
        // The first upstream is in the zone of the front, so that it is the preferred choice.
        const auto n = upstreams.size();
        state.directory().apply({ .id = "u" + std::to_string(n),
            .service = "s",
            .address = upstreams.back()->address(),
            .zone = n == 1 ? "z" : "y",
            .slots = 4,
            .startedAt = 1 });
        return *upstreams.back();
    }

    Result<HttpResponse> call(std::string target)
    {
        HttpRequest request { .method = "POST", .target = std::move(target) };
        request.headers.set("X-Id", "7");
        const Address address { .host = "127.0.0.1", .port = server.port() };
        return runAwaitable(context, client.call(address, std::move(request), { .deadline = clock.now() + 10s }));
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(RequestForwarderTests, Fixture)

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

// Guards against a request that crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(RejectsARequestThatCrashedUpstreams)
{
    addUpstream({ okResponse });
    const ServingRequest request { .host = "host" };
    const auto digest = requestDigest(request, "/once/x", "");
    state.suspectRequests().recordCrash(digest);
    state.suspectRequests().recordCrash(digest);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
    BOOST_TEST(call("/once/y")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
