#include "load_runner.h"

#include "bulrushstack/kernel/run_awaitable.h"
#include "bulrushstack/net/http_server.h"
#include "test_experiment.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

using namespace bulrushstack;
using namespace bulrushstack::load;
using namespace std::chrono_literals;

namespace {

/// Test server. Responds to streaming requests with server-sent events in which one event is split between two writes,
/// and to all others with JSON. `isStreamTruncated` omits the end marker of streams; `isResponseBlocked` delays JSON
/// responses until it is reset.
class StubCallerApi final : public HttpHandler {
public:
    boost::asio::awaitable<void> handle(HttpExchange& exchange) override
    {
        requests.push_back(exchange.request());
        const bool isStream = exchange.request().body.find("\"stream\":true") != std::string::npos;
        if (isStream) {
            HttpHeaders headers { { "Content-Type", "text/event-stream" }, { "Bulrush-Verdict", "ran" } };
            co_await exchange.beginStream(200, std::move(headers));
            co_await exchange.write(": keep-alive\n\nid: 0\nda");
            co_await exchange.write("ta: {}\n\n");
            if (!isStreamTruncated)
                co_await exchange.write("data: [DONE]\n\n");
            co_await exchange.endStream();
            co_return;
        }
        while (isResponseBlocked) {
            boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, 1ms);
            co_await timer.async_wait(boost::asio::use_awaitable);
        }
        auto response = jsonResponse(status, "{}");
        response.headers.set("Bulrush-Verdict", status == 200 ? "ran" : "not-run");
        co_await exchange.respond(std::move(response));
    }

    std::vector<HttpRequest> requests;
    unsigned status = 200;
    bool isStreamTruncated = false;
    bool isResponseBlocked = false;
};

struct RunnerFixture {
    RunnerFixture()
    {
        if (auto ec = server.start())
            throw std::system_error(ec);
        experiment.targets = { { .host = "127.0.0.1", .port = server.port() } };
    }

    static HttpServerOptions loopback()
    {
        HttpServerOptions options;
        options.address = { .host = "127.0.0.1", .port = 0 };
        return options;
    }

    static std::vector<PlannedRequest> plan(std::uint32_t request, std::size_t count)
    {
        PlannedRequest planned;
        planned.request = request;
        return std::vector<PlannedRequest>(count, planned);
    }

    void run(std::vector<PlannedRequest> planned)
    {
        const auto progress = [&](const std::string& line) { lines.push_back(line); };
        runAwaitable(context, runner.run(std::move(planned), 1h, progress));
    }

    /// Runs the requests and blocks all responses until `arrivals` requests have reached the server.
    void runWithBlockedResponses(std::vector<PlannedRequest> planned, std::size_t arrivals)
    {
        api.isResponseBlocked = true;
        bool isDone = false;
        const auto progress = [](const std::string&) {};
        boost::asio::co_spawn(
            context, runner.run(std::move(planned), 1h, progress), [&](std::exception_ptr) { isDone = true; });
        while (api.requests.size() < arrivals)
            context.run_one();
        BOOST_TEST(!isDone);
        api.isResponseBlocked = false;
        while (!isDone)
            context.run_one();
    }

    std::uint64_t statusCount(const std::string& status) const
    {
        const auto& counts = runner.summary().total().byStatus;
        const auto it = counts.find(status);
        return it == counts.end() ? 0 : it->second;
    }

    SystemClock clock;
    StubCallerApi api;
    boost::asio::io_context context;
    HttpServer server { context, loopback(), api };
    Experiment experiment = parseExperiment(experimentDocument());
    LoadRunner runner { context, clock, experiment };
    std::vector<std::string> lines;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Runs, RunnerFixture)

BOOST_AUTO_TEST_CASE(SendEveryKindOnce)
{
    std::vector<PlannedRequest> planned;
    for (std::uint32_t i = 0; i < 4; ++i)
        planned.push_back(plan(i, 1).front());
    run(planned);
    BOOST_TEST(api.requests.size() == 4U);
    BOOST_TEST(statusCount("200") == 4U);
    BOOST_TEST(runner.summary().total().byVerdict.at("ran") == 4U);
    BOOST_TEST(runner.summary().total().firstToken.count() == 1U);
    BOOST_REQUIRE(!lines.empty());
    BOOST_TEST(lines.back().find("ended=4 answered=4 in_flight=0 skipped=0") != std::string::npos);
}

// Guards against a truncated stream that is counted as a complete response.
BOOST_AUTO_TEST_CASE(TruncatedStreamIsNotAnswered)
{
    api.isStreamTruncated = true;
    run(plan(1, 1));
    BOOST_TEST(statusCount("200 without an end") == 1U);
    BOOST_TEST(runner.summary().total().deadlineMet == 0U);
}

BOOST_AUTO_TEST_CASE(RefusalsAreCountedByStatusAndVerdict)
{
    api.status = 503;
    run(plan(0, 3));
    BOOST_TEST(statusCount("503") == 3U);
    BOOST_TEST(runner.summary().total().byVerdict.at("not-run") == 3U);
}

// Guards against closed-loop behaviour: a generator that waits for responses before it sends more would never have all
// requests in flight.
BOOST_AUTO_TEST_CASE(SlowAnswersDoNotDelayLaterRequests)
{
    runWithBlockedResponses(plan(0, 5), 5);
    BOOST_TEST(statusCount("200") == 5U);
}

// Guards against an unbounded number of connections to a target that does not respond.
BOOST_AUTO_TEST_CASE(ArrivalsBeyondTheLimitAreSkipped)
{
    experiment.inFlightLimit = 2;
    runWithBlockedResponses(plan(0, 5), 2);
    BOOST_TEST(runner.summary().skipped() == 3U);
    BOOST_TEST(statusCount("200") == 2U);
}

// Guards against a run that never ends because a target does not respond.
BOOST_AUTO_TEST_CASE(UnresponsiveTargetEndsAtTheTimeout)
{
    api.isResponseBlocked = true;
    experiment.timeout = 20ms;
    run(plan(0, 2));
    BOOST_TEST(runner.summary().total().requests == 2U);
    BOOST_TEST(runner.summary().total().deadlineMissed == 2U);
}

// Guards against coordinated omission: the latency of a request that is sent late must include the delay.
BOOST_AUTO_TEST_CASE(LatencyCountsFromTheIntendedTime)
{
    auto planned = plan(0, 1);
    planned[0].offset = -1s;
    run(planned);
    BOOST_TEST((runner.summary().total().latency.percentile(50) >= 1s));
}

BOOST_AUTO_TEST_SUITE_END()
