#include "caller_api.h"
#include "caller_test_support.h"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>
#include <prometheus/text_serializer.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Captures log messages while it exists.
class LogCapture final : public google::LogSink {
public:
    LogCapture()
        : m_previousLevel(std::exchange(FLAGS_minloglevel, 0))
    {
        google::AddLogSink(this);
    }

    ~LogCapture() override
    {
        google::RemoveLogSink(this);
        FLAGS_minloglevel = m_previousLevel;
    }

    void send(google::LogSeverity, const char*, const char*, int, const google::LogMessageTime&, const char* message,
        std::size_t n) override
    {
        text += std::string(message, n) + "\n";
    }

    std::string text;

private:
    int m_previousLevel;
};

struct ApiFixture {
    ApiFixture()
    {
        InstanceRecord record;
        record.id = "engine-1";
        record.role = InstanceRole::Engine;
        directory.updateInstanceList({ record });
        LoadReport load;
        load.resident = { { .model = "own", .version = "1", .state = ResidentState::Ready, .bytes = 1 } };
        directory.recordLoadReport("engine-1", load);
    }

    detail::CallerApiDependencies dependencies()
    {
        return {
            .clock = time.clock,
            .metrics = registry,
            .models = models,
            .callService = [this](RequestContext, ServiceRequest request) { return callService(std::move(request)); },
            .configuration = [this] { return configuration; },
            .unmetConditions = [this] { return unmet; },
            .bodyLimits = {},
        };
    }

    boost::asio::awaitable<ServiceOutcome> callService(ServiceRequest request)
    {
        if (request.request.target == "/throw")
            throw std::runtime_error("secret content");
        calls.push_back(std::move(request));
        co_return outcome;
    }

    HttpResponse send(std::string method, std::string target, std::string body = {}, HttpHeaders headers = {})
    {
        HttpRequest request { .method = std::move(method),
            .target = std::move(target),
            .headers = std::move(headers),
            .body = std::move(body) };
        if (request.headers.count("Authorization") == 0)
            request.headers.add("Authorization", "Bearer token-a");
        RecordingExchange exchange(std::move(request));
        auto work = [](detail::CallerApi& target, HttpExchange& exchange) -> boost::asio::awaitable<bool> {
            co_await target.handle(exchange);
            co_return true;
        };
        time.run(work(api, exchange));
        time.runUntilIdle();
        return exchange.response;
    }

    /// Checks the headers and fields of a problem document and returns its code.
    static std::string codeOf(const HttpResponse& response)
    {
        static const std::string prefix = "urn:bulrushstack:problem:";
        const auto document = nlohmann::json::parse(response.body);
        BOOST_TEST(response.headers.find("Content-Type").value() == "application/problem+json");
        BOOST_TEST(response.headers.find("Bulrush-Request-Id").value() == document.at("request_id").get<std::string>());
        BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == document.at("verdict").get<std::string>());
        BOOST_TEST(response.status == document.at("status").get<unsigned>());
        BOOST_TEST((response.status != 503 || response.headers.find("Retry-After").has_value()));
        return document.at("type").get<std::string>().substr(prefix.size());
    }

    std::string metrics() { return prometheus::TextSerializer().Serialize(registry.Collect()); }

    VirtualTime time;
    ConfigurationPtr configuration = testConfiguration();
    ScriptedEngine engine { time };
    InstanceDirectory directory { time.clock, { .loadReportLifetime = 24h } };
    UpstreamSelector selector { directory, {} };
    RetryBudget retries;
    ModelRequestExecutor models { { time.context, time.clock, engine, selector, retries, time.timerFactory() }, {} };
    prometheus::Registry registry;
    std::vector<std::string> unmet;
    std::vector<ServiceRequest> calls;
    ServiceOutcome outcome { .result = jsonResponse(200, "{}"), .verdict = Verdict::Ran };
    detail::CallerApi api { dependencies() };
};

const std::string completion = R"({"model":"own","prompt":"confidential words"})";

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallerApi, ApiFixture)

BOOST_AUTO_TEST_SUITE(Health)

// Load balancers route by /readyz and restart instances by /livez: an unmet condition must show in /readyz only.
BOOST_AUTO_TEST_CASE(ReadinessListsWhatIsMissing)
{
    BOOST_TEST(send("GET", "/readyz").status == 200u);
    unmet = { "membership: no reading of the instance list" };
    const auto response = send("GET", "/readyz");
    BOOST_TEST(response.status == 503u);
    BOOST_TEST(nlohmann::json::parse(response.body).at("unmet") == nlohmann::json(unmet));
    BOOST_TEST(send("GET", "/livez").status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(ModelsAreThoseOfTheTeam)
{
    const auto list = nlohmann::json::parse(send("GET", "/v1/models").body);
    BOOST_TEST(list.at("object") == "list");
    BOOST_REQUIRE(list.at("data").size() == 2u);
    BOOST_TEST(list.at("data")[0].at("id") == "own");
    BOOST_TEST(list.at("data")[1].at("id") == "shared");
    BOOST_TEST(codeOf(send("GET", "/v1/models", "", { { "Authorization", "Bearer nobody" } })) == "invalid-token");
}

BOOST_AUTO_TEST_CASE(UnknownPathsAndMethodsAreRefused)
{
    BOOST_TEST(codeOf(send("GET", "/v1/nothing")) == "not-found");
    BOOST_TEST(codeOf(send("GET", "/services")) == "not-found");
    const auto response = send("GET", "/v1/completions");
    BOOST_TEST(codeOf(response) == "method-not-allowed");
    BOOST_TEST(response.headers.find("Allow").value() == "POST");
    BOOST_TEST(codeOf(send("DELETE", "/v1/models")) == "method-not-allowed");
}

BOOST_AUTO_TEST_CASE(ModelRequestsReachTheEngine)
{
    const auto response = send("POST", "/v1/completions", completion);
    BOOST_TEST(response.status == 200u);
    BOOST_TEST(engine.requests.at(0).body == completion);
    BOOST_TEST(codeOf(send("POST", "/v1/completions", "{")) == "malformed-request");
    BOOST_TEST(codeOf(send("POST", "/v1/chat/completions", R"({"model":"foreign","messages":[{"role":"user"}]})"))
        == "unknown-model");
    BOOST_TEST(engine.requests.size() == 1u);
}

// Internal headers of the upstream must not reach the caller, and a problem must carry the verdict of the call.
BOOST_AUTO_TEST_CASE(ServiceCallsReachTheService)
{
    auto& serviceResponse = std::get<HttpResponse>(outcome.result);
    serviceResponse.status = 201;
    serviceResponse.headers.set("X-Request-Id", "attempt");
    serviceResponse.headers.set("Connection", "keep-alive");
    serviceResponse.headers.set("ETag", "\"1\"");
    auto response = send("PUT", "/services/cue-board/cues/7", "dark", { { "Idempotency-Key", "k" } });
    BOOST_TEST(response.status == 201u);
    BOOST_TEST(!response.headers.find("X-Request-Id").has_value());
    BOOST_TEST(!response.headers.find("Connection").has_value());
    BOOST_TEST(response.headers.find("ETag").value() == "\"1\"");
    BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == "ran");
    BOOST_TEST(calls.at(0).request.target == "/cues/7");
    outcome = { .result = Problem { .code = ProblemCode::OutcomeUnknown, .detail = "unknown" },
        .verdict = Verdict::MayHaveRun };
    response = send("POST", "/services/cue-board/cues", "", { { "Idempotency-Key", "k" } });
    BOOST_TEST(codeOf(response) == "outcome-unknown");
    BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == "may-have-run");
}

// An exception during a request must give a problem document whose verdict is not "not-run".
BOOST_AUTO_TEST_CASE(ExceptionsGiveAProblemDocument)
{
    const auto response = send("GET", "/services/cue-board/throw");
    BOOST_TEST(codeOf(response) == "internal-error");
    BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == "may-have-run");
}

BOOST_AUTO_TEST_CASE(ProtocolErrorsGiveAProblemDocument)
{
    const std::pair<unsigned, std::string> expected[] = { { 400, "malformed-request" }, { 413, "body-too-large" },
        { 431, "headers-too-large" }, { 503, "overloaded" } };
    for (const auto& [status, code] : expected) {
        const auto response = api.protocolError(status, "what is wrong");
        BOOST_TEST(response.status == status);
        BOOST_TEST(codeOf(response) == code);
    }
}

// A handler that ends without a response may have sent the request, so the verdict must not be "not-run".
BOOST_AUTO_TEST_CASE(AnInternalErrorOfTheServerMayHaveRun)
{
    const auto response = api.protocolError(500, "internal error");
    BOOST_TEST(codeOf(response) == "internal-error");
    BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == "may-have-run");
}

// During a shutdown, requests that arrive over keep-alive connections must be refused.
BOOST_AUTO_TEST_CASE(ShutdownRefusesNewRequests)
{
    api.beginShutdown();
    for (const char* path : { "/v1/completions", "/services/cue-board/cues" }) {
        const auto response = send("POST", path, completion);
        BOOST_TEST(codeOf(response) == "shutting-down");
        BOOST_TEST(response.headers.find("Bulrush-Verdict").value() == "not-run");
    }
    BOOST_TEST(engine.requests.empty());
    BOOST_TEST(calls.empty());
    BOOST_TEST(send("GET", "/livez").status == 200u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Records)

// Values sent by callers must not become metric labels, since the number of time series would grow without bound.
BOOST_AUTO_TEST_CASE(LabelsAreNeverTakenFromCallers)
{
    send("POST", "/v1/completions", completion);
    const auto before = metrics();
    send("POST", "/v1/completions", completion);
    const auto after = metrics();
    BOOST_TEST(std::count(before.begin(), before.end(), '\n') == std::count(after.begin(), after.end(), '\n'));
    send("PROPFIND", "/caller-chosen", "", { { "Bulrush-Caller-Chosen", "caller-chosen" } });
    send("POST", "/v1/completions", R"({"model":"caller-chosen","prompt":"caller-chosen"})");
    send("GET", "/services/caller-chosen/x", "", { { "Authorization", "Bearer caller-chosen" } });
    BOOST_TEST(metrics().find("caller-chosen") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(DeadlinesCountAsMetOrMissed)
{
    send("POST", "/v1/completions", completion);
    send("POST", "/v1/completions", "{");
    engine.defaultFault.kind = EngineFault::NotStarted;
    send("POST", "/v1/completions", completion);
    const auto text = metrics();
    BOOST_TEST(text.find(R"(bulrush_deadlines_total{result="met",team="zagreb",urgency="interactive"} 1)")
        != std::string::npos);
    BOOST_TEST(text.find(R"(bulrush_deadlines_total{result="missed",team="zagreb",urgency="interactive"} 1)")
        != std::string::npos);
    BOOST_TEST(text.find(R"(bulrush_requests_total{status="4xx",team="zagreb",urgency="interactive"} 1)")
        != std::string::npos);
    BOOST_TEST(text.find("bulrush_requests_in_flight 0") != std::string::npos);
    BOOST_TEST(text.find("bulrush_retries_total 2") != std::string::npos);
}

// Each request must leave exactly one log line, without prompt, response or token.
BOOST_AUTO_TEST_CASE(LogHasOneLineForEachRequestWithoutContent)
{
    LogCapture log;
    engine.response = jsonResponse(200, "confidential answer");
    send("POST", "/v1/completions", completion);
    send("GET", "/services/cue-board/throw");
    std::size_t lines = 0;
    for (auto at = log.text.find("event=request request="); at != std::string::npos;
         at = log.text.find("event=request request=", at + 1))
        ++lines;
    BOOST_TEST(lines == 2u);
    BOOST_TEST(log.text.find("team=zagreb kind=completion status=200 verdict=ran attempts=1") != std::string::npos);
    for (const char* word : { "confidential", "secret", "token-a" })
        BOOST_TEST(log.text.find(word) == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
