#include "upstream_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

struct ServiceFixture : UpstreamFixture {
    Result<HttpResponse> call(HttpHeaders headers = {}, std::string key = "key-1", AttemptLimits limits = {})
    {
        ServiceCall out;
        out.attemptId = "attempt-1";
        out.request.method = "POST";
        out.request.target = "/orders?n=1";
        out.request.headers = std::move(headers);
        out.request.body = "{}";
        out.idempotencyKey = std::move(key);
        return run(service.call(address, std::move(out), limits));
    }

    Result<ServiceCallStatus> status(std::string path = "/status/{key}", std::string key = "a b/c")
    {
        return run(service.status(address, std::move(path), std::move(key), SteadyTime::max()));
    }
};

bool hasFailure(const auto& result, Errc code, Verdict verdict)
{
    return result.has_error() && result.error().code == code && result.error().verdict == verdict;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServiceCalls, ServiceFixture)

// Guards against a call whose method, target, headers or body change on the way to the service.
BOOST_AUTO_TEST_CASE(CallIsForwardedUnchanged)
{
    respondWith(201, "[1]");
    const auto response = call({ { "X-Shop", "1" }, { "X-Fencing", "4" } });
    BOOST_REQUIRE(response);
    BOOST_TEST(response->status == 201U);
    BOOST_TEST(response->body == "[1]");
    BOOST_REQUIRE(requests.size() == 1);
    BOOST_TEST(requests[0].starts_with("POST /orders?n=1 HTTP/1.1\r\n"));
    BOOST_TEST(headerValue(requests[0], "X-Request-Id") == "attempt-1");
    BOOST_TEST(headerValue(requests[0], "Idempotency-Key") == "key-1");
    BOOST_TEST(headerValue(requests[0], "X-Shop") == "1");
    BOOST_TEST(headerValue(requests[0], "X-Fencing") == "4");
}

// Guards against request smuggling: framing and hop-by-hop fields of the caller's connection must not reach the
// service.
BOOST_AUTO_TEST_CASE(HopByHopHeadersAreNotForwarded)
{
    respondWith(200, "{}");
    HttpHeaders headers { { "Host", "caller" }, { "Connection", "X-Hop, close" }, { "X-Hop", "1" },
        { "Keep-Alive", "5" }, { "Transfer-Encoding", "chunked" }, { "TE", "trailers" }, { "Trailer", "X" },
        { "Upgrade", "h2c" }, { "Proxy-Authorization", "x" }, { "Proxy-Connection", "close" },
        { "Content-Length", "99" }, { "Expect", "100-continue" }, { "X-Request-Id", "of-the-caller" } };
    const auto response = call(std::move(headers));
    BOOST_REQUIRE(response);
    const auto& text = requests.at(0);
    for (const auto* it : { "Connection", "X-Hop", "Keep-Alive", "Transfer-Encoding", "TE", "Trailer", "Upgrade",
             "Proxy-Authorization", "Proxy-Connection", "Expect" })
        BOOST_TEST(headerValue(text, it).empty(), it);
    BOOST_TEST(headerValue(text, "Host") == address.toString());
    BOOST_TEST(headerValue(text, "Content-Length") == "2");
    BOOST_TEST(text.find("caller") == std::string::npos);
}

// Guards against reporting an HTTP status of the service as a failure of the call.
BOOST_AUTO_TEST_CASE(AnyStatusOfTheServiceIsReturned)
{
    for (unsigned status : { 200U, 302U, 404U, 409U, 429U, 500U, 503U }) {
        respondWith(status, "text");
        const auto response = call();
        BOOST_REQUIRE(response);
        BOOST_TEST(response->status == status);
    }
}

// Guards against losing a call (a refusal that is not reported as NotRun is not retried) and against executing it twice
// (an uncertain outcome that is reported as NotRun is retried).
BOOST_AUTO_TEST_CASE(FailureVerdicts)
{
    respondWith(503, "", "X-Request-Id: {id}\r\nX-Not-Started: 1\r\n");
    BOOST_TEST(hasFailure(call(), Errc::Refused, Verdict::NotRun));
    respondWith(200, "{}", "X-Request-Id: attempt-0\r\n");
    BOOST_TEST(hasFailure(call(), Errc::MismatchedResponse, Verdict::MayHaveRun));
    addResponse({ .closesConnection = true });
    BOOST_TEST(hasFailure(call(), Errc::ConnectionClosed, Verdict::MayHaveRun));
    BOOST_TEST(
        hasFailure(call({}, "key-1", { .progressTimeout = 20ms, .maxIdle = 0ns }), Errc::Timeout, Verdict::MayHaveRun));
    BOOST_TEST(requests.size() == 4U);
}

// Guards against requesting the status of another key, and against accepting the response to another request.
BOOST_AUTO_TEST_CASE(StatusIsReadByKey)
{
    respondWith(200, R"({"executed":true,"status":201,"body":{"id":5}})");
    auto known = status();
    BOOST_REQUIRE(known);
    BOOST_TEST(known->wasExecuted);
    BOOST_TEST(known->response.body == R"({"id":5})");
    BOOST_TEST(requests.at(0).starts_with("GET /status/a%20b%2Fc HTTP/1.1\r\n"));
    respondWith(404, R"({"executed":false})");
    known = status();
    BOOST_REQUIRE(known);
    BOOST_TEST(!known->wasExecuted);
    respondWith(404, R"({"executed":false})", "X-Request-Id: attempt-0\r\n");
    BOOST_TEST(hasFailure(status(), Errc::MismatchedResponse, Verdict::MayHaveRun));
}

// Guards against taking the NotRun of a failed status request for the verdict of the call.
BOOST_AUTO_TEST_CASE(FailedStatusReadMayHaveRun)
{
    respondWith(503, "", "X-Request-Id: {id}\r\nX-Not-Started: 1\r\n");
    BOOST_TEST(hasFailure(status(), Errc::Refused, Verdict::MayHaveRun));
    respondWith(404, "not found");
    BOOST_TEST(hasFailure(status(), Errc::Malformed, Verdict::MayHaveRun));
    BOOST_TEST(hasFailure(status("/status"), Errc::InvalidArgument, Verdict::MayHaveRun));
}

BOOST_AUTO_TEST_SUITE_END()
