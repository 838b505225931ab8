#include "bulrushstack/execution/execution_service.h"

#include "bulrushstack/config/configuration_service.h"
#include "bulrushstack/engine/upstream_protocol_service.h"
#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/membership/membership_service.h"
#include "bulrushstack/net/http_server.h"
#include "bulrushstack/net/net_services.h"
#include "bulrushstack/platform/platform_service.h"
#include "caller_test_support.h"
#include "loopback.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// An engine that sends the first event of a stream, and the rest after release().
class PausingEngine final : public HttpHandler {
public:
    explicit PausingEngine(boost::asio::io_context& context)
        : m_release(systemTimerFactory(context)())
    {
    }

    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        if (exchange.request().method == "DELETE")
            ++cancels;
        if (exchange.request().method != "POST") {
            auto response = jsonResponse(404, "{}");
            response.headers.set("X-Request-Id", exchange.request().headers.find("X-Request-Id").value_or(""));
            co_await exchange.respond(std::move(response));
            co_return;
        }
        HttpHeaders headers { { "Content-Type", "text/event-stream" } };
        headers.set("X-Request-Id", exchange.request().headers.find("X-Request-Id").value());
        co_await exchange.beginStream(200, std::move(headers));
        co_await exchange.write("id: 0\ndata: {}\n\n");
        co_await m_release->waitUntil(SteadyTime::max());
        co_await exchange.write("id: 1\ndata: {}\n\ndata: [DONE]\n\n");
        co_await exchange.endStream();
    }

    void release() { m_release->wake(); }

    int cancels = 0; ///< cancellation requests received

private:
    WakeableTimerPtr m_release;
};

/// One instance with an engine. The platform services (tables, objects, instance list) are unreachable.
struct InstanceFixture {
    InstanceFixture()
    {
        const auto unreachableAddress = unreachable.address().toString();
        std::vector<SettingSpec> specs;
        for (const auto& list : { runtimeSettings(), peerSettings(), platformSettings(), configurationSettings(),
                 membershipSettings(), executionSettings() })
            specs.insert(specs.end(), list.begin(), list.end());
        const auto outcome = parseSettings(specs,
            { "--instance-id=i", "--zone=z", "--peer-address=" + peerAddress.toString(), "--peer-key=key",
                "--table-service-address=" + unreachableAddress, "--object-store-address=" + unreachableAddress,
                "--instance-list-address=" + unreachableAddress, "--listen-address=127.0.0.1:0", "--drain-delay=0s",
                "--body-limit=1KiB", "--header-limit=1KiB", "--progress-timeout=1h", "--roster-poll-interval=1m",
                "--load-poll-interval=1m" },
            {});
        BOOST_REQUIRE_MESSAGE(outcome.settings, outcome.error);
        addServices(*outcome.settings);
        registry.startAll();
        BOOST_REQUIRE(!engineServer.start());
        addEngine();
    }

    void addServices(const Settings& settings)
    {
        const InstanceIdentity identity { .id = "i", .zone = "z", .incarnation = 1 };
        registry.add(std::make_unique<RuntimeService>(settings, clock, identity));
        registry.add(std::make_unique<HttpClientService>());
        registry.add(std::make_unique<PeerMeshService>());
        registry.add(std::make_unique<PlatformService>());
        registry.add(std::make_unique<UpstreamProtocolService>());
        registry.add(std::make_unique<ConfigurationService>());
        registry.add(std::make_unique<MembershipService>());
        registry.add(std::make_unique<ExecutionService>());
    }

    void addEngine()
    {
        registry.find<ConfigurationService>("configuration").adoptIfNewer(testConfiguration());
        InstanceRecord record;
        record.id = "engine-1";
        record.role = InstanceRole::Engine;
        record.address = { .host = "127.0.0.1", .port = engineServer.port() };
        auto& directory = registry.find<MembershipService>("membership").directory();
        directory.updateInstanceList({ record });
        LoadReport load;
        load.resident = { { .model = "own", .version = "1", .state = ResidentState::Ready, .bytes = 1 } };
        directory.recordLoadReport("engine-1", load);
    }

    HttpRequest streamRequest() const
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/completions";
        request.headers.set("Authorization", "Bearer token-a");
        request.body = R"({"model":"own","prompt":"x","stream":true})";
        return request;
    }

    std::unique_ptr<HttpStream> openStream()
    {
        auto stream = runAwaitable(context, client.open(address(), streamRequest()));
        BOOST_REQUIRE(stream.has_value());
        return std::move(*stream);
    }

    Address address() { return { .host = "127.0.0.1", .port = execution().port() }; }
    ExecutionService& execution() { return registry.find<ExecutionService>("execution"); }
    RuntimeService& runtime() { return registry.find<RuntimeService>("runtime"); }

    bool reportsShutdown()
    {
        const auto unmet = runtime().unmetConditions();
        return std::find(unmet.begin(), unmet.end(), "serving: shutting down") != unmet.end();
    }

    /// Sends a request that the HTTP server has to reject, and checks the problem document.
    void checkProblem(HttpRequest request, unsigned status, const std::string& code)
    {
        const auto response = runAwaitable(context, client.call(address(), std::move(request)));
        BOOST_REQUIRE(response.has_value());
        BOOST_TEST(response->status == status);
        BOOST_TEST(response->headers.find("Content-Type").value() == "application/problem+json");
        BOOST_TEST(nlohmann::json::parse(response->body).at("type") == "urn:bulrushstack:problem:" + code);
        BOOST_TEST(response->headers.find("Bulrush-Verdict").value() == "not-run");
    }

    boost::asio::io_context context;
    SystemClock clock;
    ReservedAddress unreachable { context };
    ReservedAddress reservedPeer { context };
    Address peerAddress = reservedPeer.address();
    PausingEngine engine { context };
    HttpServer engineServer { context, { .address = { .host = "127.0.0.1", .port = 0 } }, engine };
    HttpClient client { context, clock };
    ServiceRegistry registry { context };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExecutionServices, InstanceFixture)

// A shutdown must let streams in progress finish, and must refuse new requests without delay.
BOOST_AUTO_TEST_CASE(FinishStreamsBeforeTheyStop)
{
    auto stream = openStream();
    BOOST_TEST(stream->headers().find("Content-Type").value() == "text/event-stream");
    BOOST_TEST(runAwaitable(context, stream->read()).value().value() == "id: 0\ndata: {}\n\n");
    bool isStopped = false;
    boost::asio::co_spawn(context, execution().stop(), [&](std::exception_ptr) { isStopped = true; });
    while (!reportsShutdown())
        context.run_one();
    while (runAwaitable(context, client.open(address(), streamRequest())).has_value()) { }
    BOOST_TEST(!isStopped);
    engine.release();
    BOOST_TEST(runAwaitable(context, stream->readAll()).value() == "id: 1\ndata: {}\n\ndata: [DONE]\n\n");
    while (!isStopped)
        context.run_one();
}

// When the caller closes the connection, the attempt must be cancelled on the engine.
BOOST_AUTO_TEST_CASE(CancelStreamsOfCallersWhoHaveGone)
{
    auto stream = openStream();
    stream.reset();
    while (engine.cancels == 0)
        context.run_one();
    engine.release();
}

// Rejections by the HTTP server itself must have a problem document and a verdict as well.
BOOST_AUTO_TEST_CASE(RefuseOversizedRequestsWithAProblemDocument)
{
    auto request = streamRequest();
    request.body = std::string(2000, 'x');
    checkProblem(request, 413, "body-too-large");
    request = streamRequest();
    request.headers.set("X-Long", std::string(2000, 'x'));
    checkProblem(request, 431, "headers-too-large");
}

// The handler of journal-query must be registered with the peer mesh, so that other instances get replies.
BOOST_AUTO_TEST_CASE(AnswerJournalQueries)
{
    auto& mesh = registry.find<PeerMeshService>("peers").mesh();
    const nlohmann::json query { { "type", "journal-query" }, { "team", "zagreb" }, { "key", "k" },
        { "attempt", "a" } };
    const auto reply = runAwaitable(context, mesh.request(peerAddress, query, 5s));
    BOOST_REQUIRE(reply.has_value());
    BOOST_TEST(reply->contains("state"));
}

BOOST_AUTO_TEST_SUITE_END()
