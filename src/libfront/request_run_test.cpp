#include "request_run.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/serving/retry_after.h"
#include "raw_server.h"

#include <boost/test/unit_test.hpp>
#include <prometheus/registry.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Headers of a small format of its own: X-Id, X-Seal, X-Not-Run, X-Model, X-Leaving, X-Pause, X-Retry-Ms.
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

    HttpRequest encode(const HttpRequest& request, const Dispatch& dispatch) const override
    {
        HttpRequest out { .method = request.method, .target = request.target, .body = request.body };
        out.headers.set("X-Id", request.headers.find("X-Id").value());
        if (dispatch.resumeAfter)
            out.headers.set("X-After", *dispatch.resumeAfter);
        return out;
    }

    UpstreamHead decodeHead(unsigned status, const HttpHeaders& headers) const override
    {
        return { .requestId = headers.find("X-Id").value_or(""),
            .isGenuine = headers.find("X-Seal").has_value(),
            .isNotExecuted = headers.find("X-Not-Run").has_value(),
            .isMisdirected = status == 421,
            .isTransformed = headers.find("Content-Encoding").has_value(),
            .isLeaving = headers.find("X-Leaving").has_value(),
            .pause
            = headers.find("X-Pause") ? std::optional(parseRetryAfter(*headers.find("X-Pause"))) : std::nullopt };
    }

    HttpHeaders answerFields(const HttpHeaders& headers) const override
    {
        HttpHeaders out;
        for (const auto* name : { "X-Id", "X-Seal" }) {
            if (auto value = headers.find(name))
                out.set(name, *value);
        }
        return out;
    }

    void finishRefusal(
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
    explicit Ingress(RequestServices services)
        : m_services(services)
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        RequestRun run(m_services, exchange);
        co_await run.run();
    }

private:
    RequestServices m_services;
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

std::string answer(std::string_view status, std::string_view fields, std::string_view body)
{
    return "HTTP/1.1 " + std::string(status) + "\r\n" + std::string(fields)
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

const std::string served = answer("200 OK", "X-Id: 7\r\nX-Seal: s\r\n", "whole");
const std::string refused = answer("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\n", "");
const std::string servedByLeaving = answer("200 OK", "X-Id: 7\r\nX-Seal: s\r\nX-Leaving: 1\r\n", "whole");
const std::string pausing = answer("503 Busy", "X-Id: 7\r\nX-Not-Run: 1\r\nX-Pause: 30\r\n", "");
const std::string failed = answer("500 Error", "X-Id: 7\r\nX-Seal: s\r\n", "error");

std::string chunk(std::string_view text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

const std::string streamHead = "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Type: "
                               "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A front with scripted upstreams, on the loopback address.
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
        state.setInstances(1);
        configure();
        BOOST_REQUIRE(!server.start());
    }

    void configure()
    {
        std::vector<RouteSpec> routes { route("/once/", CallKind::NonIdempotent, 1),
            route("/read/", CallKind::Idempotent, 2), route("/events/", CallKind::Stream, 1),
            route("/resumable/", CallKind::Stream, 2, true) };
        state.offerConfiguration(std::make_shared<ServingConfiguration>(
            1, std::move(routes), std::vector<ServiceSpec> { { .name = "s" } }, RequestLimits()));
    }

    RawServer& addUpstream(std::vector<std::string> answers, bool isClosing = false)
    {
        upstreams.push_back(std::make_unique<RawServer>(context, std::move(answers), isClosing));
        // The zone makes the first one the preferred choice.
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

BOOST_FIXTURE_TEST_SUITE(ARequest, Fixture)

BOOST_AUTO_TEST_CASE(IsAnsweredWithTheUpstreamsAnswer)
{
    addUpstream({ served });
    auto response = call("/once/x");
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 200u);
    BOOST_TEST(response->body == "whole");
    BOOST_TEST(response->headers.find("X-Seal").value() == "s");
}

BOOST_AUTO_TEST_CASE(IsRefusedAtOnceWithoutARoute)
{
    addUpstream({ served });
    BOOST_TEST(call("/nowhere/x")->status == 404u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against callers that wait behind more requests than the upstream can answer in time.
BOOST_AUTO_TEST_CASE(IsRefusedAtOnceWhileItsUpstreamIsFarBehind)
{
    addUpstream({ served });
    state.loads().recordStart("u1", { .sent = clock.now() - 2s });
    auto response = call("/once/x");
    BOOST_TEST(response->status == 503u);
    BOOST_TEST(response->headers.find("Retry-After").has_value());
    BOOST_TEST(upstreams[0]->connections() == 0u);
}

// Guards against requests to an upstream that has said in an answer that it leaves.
BOOST_AUTO_TEST_CASE(IsNotSentToAnUpstreamThatHasSaidItLeaves)
{
    addUpstream({ servedByLeaving, served });
    addUpstream({ served });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
    BOOST_TEST(upstreams[1]->received().size() == 1u);
}

BOOST_AUTO_TEST_SUITE(WhoseUpstreamWantsAPause)

// Guards against retries and new requests in the pause that an upstream asked for.
BOOST_AUTO_TEST_CASE(GoesElsewhere)
{
    addUpstream({ pausing, served });
    addUpstream({ served, served });
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(call("/once/x")->status == 200u);
    BOOST_TEST(upstreams[0]->received().size() == 1u);
}

// Guards against callers that wait, or come back too soon, while all upstreams pause.
BOOST_AUTO_TEST_CASE(IsRefusedAtOnceUntilTheFirstPauseEnds)
{
    addUpstream({ pausing });
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

BOOST_AUTO_TEST_SUITE(ThatMayRunOnlyOnce)

// Guards against a call that runs twice, and against a refusal that says it has not run.
BOOST_AUTO_TEST_CASE(IsNotRepeatedAfterALostAnswer)
{
    addUpstream({ "" }, true);
    addUpstream({ served });
    BOOST_TEST(call("/once/x")->status == 502u);
    BOOST_TEST(upstreams[1]->connections() == 0u);
}

BOOST_AUTO_TEST_CASE(GoesElsewhereAfterARefusal)
{
    addUpstream({ refused });
    addUpstream({ served });
    BOOST_TEST(call("/once/x")->status == 200u);
}

BOOST_AUTO_TEST_CASE(IsRefusedWithATimeToComeBackWhenAllRefuse)
{
    addUpstream({ refused });
    auto response = call("/once/x");
    BOOST_TEST(response->status == 503u);
    BOOST_TEST(response->headers.find("Retry-After").has_value());
}

// Guards against a 503 of an upstream that does not say whether the call ran, passed on as a promise that it did not.
BOOST_AUTO_TEST_CASE(IsNotRefusedOnAnUpstreamsUnclearStatus)
{
    addUpstream({ answer("503 Busy", "X-Id: 7\r\nX-Seal: s\r\n", "") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatMayBeRepeated)

BOOST_AUTO_TEST_CASE(GoesElsewhereAfterAFailure)
{
    addUpstream({ failed });
    addUpstream({ served });
    BOOST_TEST(call("/read/x")->status == 200u);
}

BOOST_AUTO_TEST_CASE(IsAnsweredWithTheErrorWhenAllFail)
{
    addUpstream({ failed });
    addUpstream({ failed });
    auto response = call("/read/x");
    BOOST_TEST(response->status == 500u);
    BOOST_TEST(response->headers.find("X-Seal").value() == "s");
}

// Guards against a caller that waits for an answer that was lost.
BOOST_AUTO_TEST_CASE(GoesElsewhereWhenNoAnswerComesWithinTheObjective)
{
    addUpstream({ "" });
    addUpstream({ served });
    BOOST_TEST(call("/read/x")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(NeverGetsAnAnswer)

BOOST_AUTO_TEST_CASE(OfAnotherRequest)
{
    addUpstream({ answer("200 OK", "X-Id: 6\r\nX-Seal: s\r\n", "stray") + served });
    BOOST_TEST(call("/once/x")->body == "whole");
}

BOOST_AUTO_TEST_CASE(WithoutTheUpstreamsMark)
{
    addUpstream({ answer("200 OK", "X-Id: 7\r\n", "x") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(ThatIsEncoded)
{
    addUpstream({ answer("200 OK", "X-Id: 7\r\nX-Seal: s\r\nContent-Encoding: gzip\r\n", "x") });
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_CASE(ThatIsCutShort)
{
    addUpstream({ "HTTP/1.1 200 OK\r\nX-Id: 7\r\nX-Seal: s\r\nContent-Length: 9\r\n\r\nshort" }, true);
    BOOST_TEST(call("/once/x")->status == 502u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ForAStream)

BOOST_AUTO_TEST_CASE(IsRelayedByteForByte)
{
    addUpstream({ streamHead + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
    BOOST_TEST(call("/events/x")->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
}

// Guards against a cut stream that looks complete.
BOOST_AUTO_TEST_CASE(IsCutVisiblyWhenTheUpstreamBreaksOff)
{
    addUpstream({ streamHead + chunk("id: 1\ndata: a\n\nid: 2\nda") }, true);
    BOOST_TEST(call("/events/x").has_error());
}

// Guards against an event without end that takes the memory of the instance, or holds its caller until the deadline.
BOOST_AUTO_TEST_CASE(IsCutWhenAnEventDoesNotEnd)
{
    const std::string endless(4 * 1024 * 1024, 'a');
    addUpstream({ streamHead + chunk("id: 1\ndata: a\n\n") + chunk("id: 2\ndata: " + endless) });
    const auto started = clock.now();
    BOOST_TEST(call("/events/x").has_error());
    BOOST_TEST((clock.now() - started < 3000ms));
}

// Guards against a missing or repeated event where a stream goes on elsewhere.
BOOST_AUTO_TEST_CASE(GoesOnElsewhereBehindItsLastWholeEvent)
{
    addUpstream({ streamHead + chunk("id: 1\ndata: a\n\nid: 2\nda") }, true);
    addUpstream({ streamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n" });
    BOOST_TEST(call("/resumable/x")->body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    BOOST_TEST(upstreams[1]->received().front().find("X-After: 1") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a request that crashes one upstream after the other.
BOOST_AUTO_TEST_CASE(ThatCrashedUpstreamsIsRefused)
{
    addUpstream({ served });
    const ServingRequest request { .host = "host" };
    const auto digest = requestDigest(request, "/once/x", "");
    state.suspects().recordCrash(digest);
    state.suspects().recordCrash(digest);
    BOOST_TEST(call("/once/x")->status == 503u);
    BOOST_TEST(upstreams[0]->connections() == 0u);
    BOOST_TEST(call("/once/y")->status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()
