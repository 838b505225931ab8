#include "caller_test_support.h"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>
#include <random>
#include <sstream>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// Parses a stream of server-sent events as a caller would.
struct ReceivedStream {
    std::vector<std::string> events; ///< data of the events with the ids 0, 1, 2, ...
    std::string problem; ///< data of the error event
    std::size_t comments = 0;
    bool isDone = false;
    bool isWellFormed = true; ///< the ids have no gaps and nothing follows the end

    explicit ReceivedStream(const std::string& text)
    {
        std::istringstream in(text);
        std::string line, id, data, kind;
        bool hasData = false;
        while (std::getline(in, line)) {
            if (line.starts_with(":")) {
                ++comments;
            } else if (line.starts_with("id: ")) {
                id = line.substr(4);
            } else if (line.starts_with("event: ")) {
                kind = line.substr(7);
            } else if (line.starts_with("data: ")) {
                data += (hasData ? "\n" : "") + line.substr(6);
                hasData = true;
            } else if (hasData) {
                take(id, data, kind);
                id.clear(), data.clear(), kind.clear();
                hasData = false;
            }
        }
    }

private:
    void take(const std::string& id, const std::string& data, const std::string& kind)
    {
        isWellFormed = isWellFormed && !isDone && problem.empty();
        if (kind == "error") {
            problem = data;
        } else if (data == "[DONE]") {
            isDone = true;
        } else {
            isWellFormed = isWellFormed && id == std::to_string(events.size());
            events.push_back(data);
        }
    }
};

struct ModelFixture {
    explicit ModelFixture(std::size_t engineCount = 3, std::uint64_t seed = 0)
        : executor({ time.context, time.clock, engine, selector, retries, time.timerFactory() }, { .randomSeed = seed })
    {
        std::vector<InstanceRecord> records;
        for (std::size_t i = 0; i < engineCount; ++i) {
            InstanceRecord record;
            record.id = "engine-" + std::to_string(i);
            record.role = InstanceRole::Engine;
            record.address = { .host = "127.0.0.1", .port = static_cast<std::uint16_t>(1000 + i) };
            records.push_back(record);
        }
        directory.updateInstanceList(records);
        LoadReport load;
        load.resident = { { .model = "own", .version = "1", .state = ResidentState::Ready, .bytes = 1 } };
        for (const auto& it : records)
            directory.recordLoadReport(it.id, load);
    }

    ModelRequestReport run(bool isStream, bool isDeterministic = true, RecordingExchange* other = nullptr)
    {
        RequestContext context;
        context.requestId = "request-1";
        context.configuration = configuration;
        context.team = configuration->team("zagreb");
        context.deadline = time.clock.now() + 60s;
        ModelRequest request {
            .path = "/v1/completions", .body = R"({"model":"own"})", .model = "own", .promptPrefix = "Once"
        };
        request.isStream = isStream;
        request.isDeterministic = isDeterministic;
        engine.isDeterministic = isDeterministic;
        auto report = time.run(executor.execute(std::move(context), std::move(request), other ? *other : exchange));
        time.runUntilIdle();
        return report;
    }

    ReceivedStream received() const { return ReceivedStream(exchange.response.body); }

    std::vector<std::string> completeEvents(int variant = 0) const
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < engine.eventCount; ++i)
            out.push_back(ScriptedEngine::eventText(variant, i));
        return out;
    }

    /// Returns whether the caller received all events and the end marker.
    bool isComplete(const ModelRequestReport& report) const
    {
        const auto stream = received();
        return stream.isWellFormed && stream.isDone && stream.problem.empty() && exchange.isEnded
            && stream.events == completeEvents() && report.verdict == Verdict::Ran && !report.problem
            && exchange.response.status == 200;
    }

    /// Returns whether the stream ended with an error event with the code, and the HTTP message stayed incomplete.
    bool endedWithErrorEvent(std::string_view code) const
    {
        const auto stream = received();
        return stream.isWellFormed && !stream.isDone && !exchange.isEnded
            && stream.problem.find("\"urn:bulrushstack:problem:" + std::string(code) + "\"") != std::string::npos
            && stream.problem.find("\"verdict\":\"may-have-run\"") != std::string::npos;
    }

    VirtualTime time;
    ConfigurationPtr configuration = testConfiguration();
    ScriptedEngine engine { time };
    InstanceDirectory directory { time.clock, { .loadReportLifetime = 24h, .unreachableDuration = 0s } };
    UpstreamSelector selector { directory, {} };
    RetryBudget retries;
    ModelRequestExecutor executor;
    RecordingExchange exchange;
};

/// Suppresses the log messages of scripted failures, of which there are thousands.
struct QuietLog {
    QuietLog() { FLAGS_minloglevel = google::GLOG_ERROR; }
};

struct OneEngine : ModelFixture {
    OneEngine()
        : ModelFixture(1)
    {
    }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(QuietLog);

BOOST_AUTO_TEST_SUITE(ModelRequests)

BOOST_FIXTURE_TEST_SUITE(NonStreamingResponses, ModelFixture)

// Bodies must be forwarded unchanged, and headers of the engine must not reach the caller.
BOOST_AUTO_TEST_CASE(ArePassedOnUnchanged)
{
    engine.response = jsonResponse(200, "{\"a\" : 1}");
    engine.response.headers.set("X-Request-Id", "secret");
    const auto report = run(false);
    const HttpHeaders expected { { "Content-Type", "application/json" }, { "Bulrush-Request-Id", "request-1" },
        { "Bulrush-Verdict", "ran" } };
    BOOST_TEST((exchange.response.headers == expected));
    BOOST_TEST(exchange.response.body == "{\"a\" : 1}");
    BOOST_TEST((report.verdict == Verdict::Ran));
    BOOST_TEST(engine.requests.at(0).body == R"({"model":"own"})");
    BOOST_TEST(engine.requests.at(0).priority == 1u);
    BOOST_TEST(engine.requests.at(0).cacheSalt == cacheSaltOf("zagreb"));
    BOOST_TEST(engine.cancelled.empty());
}

// The failure of one engine must not reach the caller while others work. An attempt that may be running must be
// cancelled.
BOOST_AUTO_TEST_CASE(AreRetriedOnAnotherEngine)
{
    for (auto kind : { EngineFault::Unreachable, EngineFault::NotStarted, EngineFault::Disconnect, EngineFault::Stall,
             EngineFault::Status500 }) {
        engine.script = { { .kind = kind } };
        engine.requests.clear(), engine.addresses.clear(), engine.cancelled.clear();
        const auto report = run(false);
        BOOST_TEST(report.status == 200u);
        BOOST_TEST(report.attempts == 2u);
        BOOST_TEST((engine.addresses.at(0) != engine.addresses.at(1)));
        const bool mayRun = kind != EngineFault::Unreachable && kind != EngineFault::NotStarted;
        BOOST_TEST(engine.cancelled.contains(engine.requests.at(0).attemptId) == mayRun);
        BOOST_TEST(!engine.cancelled.contains(engine.requests.at(1).attemptId));
    }
}

// Client errors must be forwarded without a retry. Errors of one engine must be retried on another one.
BOOST_AUTO_TEST_CASE(CallersErrorsArePassedOn)
{
    engine.response = jsonResponse(400, "{\"error\":1}");
    auto report = run(false);
    BOOST_TEST(report.status == 400u);
    BOOST_TEST(report.attempts == 1u);
    engine.response = jsonResponse(404, "{}");
    report = run(false);
    BOOST_TEST(report.status == 502u);
    BOOST_TEST(report.attempts == 3u);
}

// The verdict must cover all attempts: not-run only if no attempt may have run, and may-have-run only if one may.
BOOST_AUTO_TEST_CASE(VerdictIsTheJoinOfAllAttempts)
{
    engine.defaultFault.kind = EngineFault::NotStarted;
    auto report = run(false);
    BOOST_TEST((report.problem == ProblemCode::Overloaded));
    BOOST_TEST((report.verdict == Verdict::NotRun));
    BOOST_TEST(exchange.response.headers.find("Bulrush-Verdict").value() == "not-run");
    BOOST_TEST(exchange.response.headers.find("Retry-After").has_value());
    engine.script = { { .kind = EngineFault::Disconnect } };
    report = run(false);
    BOOST_TEST((report.verdict == Verdict::MayHaveRun));
    engine.defaultFault.kind = EngineFault::Unreachable;
    report = run(false);
    BOOST_TEST((report.verdict == Verdict::NotRun));
}

// If no upstream can serve the request, it must be refused at once and not at its deadline.
BOOST_AUTO_TEST_CASE(WithoutAnUpstreamAreRefusedAtOnce)
{
    ModelFixture empty(0);
    const auto begin = empty.time.clock.now();
    const auto report = empty.run(false);
    BOOST_TEST((report.problem == ProblemCode::NoUpstream));
    BOOST_TEST((report.verdict == Verdict::NotRun));
    BOOST_TEST(empty.exchange.response.headers.find("Retry-After").has_value());
    BOOST_TEST((empty.time.clock.now() == begin));
}

// At the deadline the caller must get a response and the attempt must be cancelled.
BOOST_AUTO_TEST_CASE(EndAtTheDeadline)
{
    engine.eventDelay = 2min;
    const auto begin = time.clock.now();
    const auto report = run(false);
    BOOST_TEST((report.problem == ProblemCode::DeadlineExceeded));
    BOOST_TEST((report.verdict == Verdict::MayHaveRun));
    BOOST_TEST((time.clock.now() - begin <= 60s));
    BOOST_TEST(engine.cancelled.size() == 1u);
}

BOOST_AUTO_TEST_CASE(AreCancelledWhenTheCallerHasGone)
{
    engine.eventDelay = 20s;
    exchange.disconnectAfterWrites = 0;
    BOOST_TEST(run(false).isCallerGone);
    BOOST_TEST(engine.cancelled.size() == 1u);
    BOOST_TEST(!exchange.isEnded);
}

// If only one engine has the model, a broken pooled connection must not exclude that engine from the retry.
BOOST_FIXTURE_TEST_CASE(AreRetriedOnTheOnlyEngine, OneEngine)
{
    engine.script = { { .kind = EngineFault::Disconnect } };
    BOOST_TEST(run(false).status == 200u);
}

// Teams must not share prefix caches, and requests with the same prompt prefix must prefer the same upstream.
BOOST_AUTO_TEST_CASE(CachesOfTeamsAreSeparate)
{
    BOOST_TEST(cacheSaltOf("zagreb") != cacheSaltOf("split"));
    BOOST_TEST(affinityKeyOf("a", "x") != affinityKeyOf("b", "x"));
    BOOST_TEST(affinityKeyOf("a", "x") == affinityKeyOf("a", "x"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Streams, ModelFixture)

// The first event must be forwarded without waiting for later ones.
BOOST_AUTO_TEST_CASE(BeginWithTheFirstEvent)
{
    engine.eventDelay = 1s;
    const auto begin = time.clock.now();
    const auto report = run(true);
    BOOST_TEST(isComplete(report));
    BOOST_TEST((report.firstTokenTime.value() - begin == 1s));
    const HttpHeaders expected { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
        { "Bulrush-Request-Id", "request-1" } };
    BOOST_TEST((exchange.response.headers == expected));
}

BOOST_AUTO_TEST_CASE(WithoutEventsHaveAnEnd)
{
    engine.eventCount = 0;
    BOOST_TEST(isComplete(run(true)));
}

// A resume after a broken or stalled connection must neither lose nor repeat an event.
BOOST_AUTO_TEST_CASE(AreResumedBehindTheLastEvent)
{
    for (auto kind : { EngineFault::Disconnect, EngineFault::Stall, EngineFault::WrongOffset }) {
        exchange.response.body.clear();
        engine.resumes.clear(), engine.requests.clear(), engine.variants.clear();
        engine.script = { { .kind = kind, .afterEvents = 2 } };
        BOOST_TEST(isComplete(run(true, false)));
        BOOST_TEST((engine.resumes == std::vector<std::optional<std::uint64_t>> { 1 }));
        BOOST_TEST(engine.requests.size() == 1u);
    }
}

// If the connection breaks before the first event, the attempt must be resumed and not run a second time.
BOOST_AUTO_TEST_CASE(AreResumedFromTheBeginning)
{
    engine.script = { { .kind = EngineFault::OpenResponseLost }, { .kind = EngineFault::Disconnect } };
    BOOST_TEST(isComplete(run(true, false)));
    BOOST_TEST((engine.resumes == std::vector<std::optional<std::uint64_t>> { std::nullopt, std::nullopt }));
    BOOST_TEST(engine.variants.size() == 1u);
}

// If the engine has lost the stream, a deterministic request is retried, and the caller must receive each event once.
BOOST_AUTO_TEST_CASE(AreRepeatedIfTheyAreDeterministic)
{
    engine.script = { { .kind = EngineFault::Disconnect, .afterEvents = 2, .losesAttempt = true } };
    BOOST_TEST(isComplete(run(true)));
    BOOST_TEST((engine.addresses.at(0) != engine.addresses.at(1)));
    BOOST_TEST(engine.cancelled.contains(engine.requests.at(0).attemptId));
}

BOOST_AUTO_TEST_CASE(AreRepeatedIfNothingWasDelivered)
{
    engine.script = { { .kind = EngineFault::Disconnect, .losesAttempt = true }, {}, {} };
    const auto report = run(true, false);
    BOOST_TEST(report.attempts == 2u);
    BOOST_TEST((received().events == completeEvents(1)));
}

// If the request is not deterministic, the stream must not be continued with events of a different response.
BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheyCannotBeContinued)
{
    engine.script = { { .kind = EngineFault::Disconnect, .afterEvents = 2, .losesAttempt = true } };
    BOOST_TEST(run(true, false).status == 200u);
    BOOST_TEST(endedWithErrorEvent("upstream-failed"));
    BOOST_TEST(received().events.size() == 2u);
}

BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheRepetitionDiffers)
{
    engine.script = { { .kind = EngineFault::Disconnect, .afterEvents = 2, .losesAttempt = true }, {},
        { .hasDifferentContent = true } };
    run(true);
    BOOST_TEST(endedWithErrorEvent("upstream-failed"));
    BOOST_TEST(received().events.size() == 2u);
}

// If a retry ends before the events that were delivered, its end marker must not complete the stream.
BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheRepetitionIsShorter)
{
    engine.script = { { .kind = EngineFault::Disconnect, .afterEvents = 2, .losesAttempt = true }, {},
        { .kind = EngineFault::EarlyEnd, .afterEvents = 1 } };
    run(true);
    BOOST_TEST(endedWithErrorEvent("upstream-failed"));
}

// The number of resumes must be limited if the engine accepts them but sends no event.
BOOST_AUTO_TEST_CASE(AreResumedAFewTimesOnly)
{
    engine.script = { { .kind = EngineFault::Disconnect, .afterEvents = 1 } };
    engine.defaultFault.kind = EngineFault::Disconnect;
    run(true, false);
    BOOST_TEST(endedWithErrorEvent("upstream-failed"));
    BOOST_TEST(engine.resumes.size() == 3u);
}

BOOST_AUTO_TEST_CASE(EndWithAnErrorAtTheDeadline)
{
    engine.eventDelay = 50s;
    const auto report = run(true);
    BOOST_TEST(endedWithErrorEvent("deadline-exceeded"));
    BOOST_TEST((report.problem == ProblemCode::DeadlineExceeded));
    BOOST_TEST(engine.cancelled.size() == 1u);
}

// If the response header has not been sent, the problem must be a response with its own status and not an event.
BOOST_AUTO_TEST_CASE(ThatNeverBeganAreRefusedWithAStatus)
{
    engine.defaultFault.kind = EngineFault::NotStarted;
    const auto report = run(true);
    BOOST_TEST(exchange.response.status == 503u);
    BOOST_TEST(!exchange.isStream);
    BOOST_TEST((report.verdict == Verdict::NotRun));
}

// A request that the engine rejects as invalid must not be retried. One engine that lacks the model must not end the
// request.
BOOST_AUTO_TEST_CASE(ThatTheEngineRefusesAreNotResumed)
{
    engine.script = { { .kind = EngineFault::InvalidRequest } };
    BOOST_TEST(run(true).status == 400u);
    BOOST_TEST(engine.requests.size() == 1u);
    engine.script = { { .kind = EngineFault::ModelNotFound } };
    RecordingExchange other;
    const auto report = run(true, true, &other);
    BOOST_TEST(report.status == 200u);
    BOOST_TEST(report.attempts == 2u);
    BOOST_TEST(engine.resumes.empty());
}

// Comments must be sent while the engine is slow, or callers and load balancers close the connection as idle.
BOOST_AUTO_TEST_CASE(SendCommentsWhileTheEngineIsSlow)
{
    engine.eventDelay = 10s;
    BOOST_TEST(isComplete(run(true)));
    BOOST_TEST(received().comments >= 12u);
}

// When the caller disconnects, the attempt must be cancelled, both while waiting for an event and while writing one.
BOOST_AUTO_TEST_CASE(AreCancelledWhenTheCallerHasGone)
{
    for (auto pause : { 0s, 20s }) {
        RecordingExchange leaving;
        leaving.disconnectAfterWrites = 1;
        engine.eventDelay = pause;
        engine.cancelled.clear();
        BOOST_TEST(run(true, true, &leaving).isCallerGone);
        BOOST_TEST(engine.cancelled.contains(engine.requests.back().attemptId));
        BOOST_TEST(leaving.writes == 1u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderRandomFaults)

// For any sequence of faults, the caller must receive a complete response or an error. Events must not be mixed from
// two responses or duplicated, the verdict must be right, all attempts must end or be cancelled, and no request may
// stay counted as in flight. A failed check prints the seed of its script.
BOOST_AUTO_TEST_CASE(AStreamIsCompleteOrEndsWithAnError)
{
    std::size_t completed = 0;
    std::size_t endedWithError = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        ModelFixture fixture(3, seed);
        std::mt19937_64 random(seed);
        auto pick = [&](std::uint64_t n) { return static_cast<std::size_t>(random() % n); };
        fixture.engine.eventCount = pick(8);
        fixture.engine.eventDelay = pick(4) == 0 ? 2s : 0s;
        for (std::size_t i = pick(7); i > 0; --i)
            fixture.engine.script.push_back({ .kind = static_cast<EngineFault::Kind>(pick(11)),
                .afterEvents = pick(6),
                .losesAttempt = pick(3) == 0,
                .hasDifferentContent = pick(4) == 0 });
        // An early end of the first response cannot be distinguished from its regular end.
        for (auto& it : fixture.engine.script)
            it.kind = it.kind == EngineFault::EarlyEnd ? EngineFault::Disconnect : it.kind;
        const auto report = fixture.run(true, pick(2) == 0);
        const auto stream = fixture.received();
        bool isFromOneResponse = stream.events.empty();
        for (const auto& [id, variant] : fixture.engine.variants) {
            const auto whole = fixture.completeEvents(variant);
            const bool isPrefix = stream.events.size() <= whole.size()
                && std::equal(stream.events.begin(), stream.events.end(), whole.begin());
            isFromOneResponse
                = isFromOneResponse || (isPrefix && (!stream.isDone || stream.events.size() == whole.size()));
        }
        const bool isDone = stream.isDone && stream.problem.empty() && fixture.exchange.isEnded
            && stream.events.size() == fixture.engine.eventCount;
        const bool isError = !stream.isDone && !stream.problem.empty() && !fixture.exchange.isEnded;
        const bool isRefusal = !fixture.exchange.isStream && fixture.exchange.response.status >= 400;
        BOOST_TEST(stream.isWellFormed, "seed " << seed);
        BOOST_TEST(isFromOneResponse, "seed " << seed);
        BOOST_TEST(int(isDone) + int(isError) + int(isRefusal) == 1, "seed " << seed);
        const bool isVerdictRight = report.verdict
            == (isDone                                ? Verdict::Ran
                    : fixture.engine.variants.empty() ? Verdict::NotRun
                                                      : Verdict::MayHaveRun);
        BOOST_TEST(isVerdictRight, "seed " << seed);
        for (const auto& [id, variant] : fixture.engine.variants)
            BOOST_TEST(
                (fixture.engine.finished.contains(id) || fixture.engine.cancelled.contains(id)), "seed " << seed);
        for (const auto& it : fixture.directory.upstreams())
            BOOST_TEST(it.inFlight == 0u, "seed " << seed);
        completed += isDone;
        endedWithError += isError;
    }
    BOOST_TEST_MESSAGE(
        "seeds 1 to 3000: " << completed << " complete, " << endedWithError << " ended with an error event");
    BOOST_TEST(completed > 1000u);
    BOOST_TEST(endedWithError > 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderATotalOutage)

// When all engines fail, retries and resumes must stay within the retry budget, so that they do not multiply the load.
BOOST_AUTO_TEST_CASE(AttemptsStayWithinTheBudget)
{
    for (bool isStream : { false, true }) {
        for (auto kind : { EngineFault::Unreachable, EngineFault::NotStarted, EngineFault::Disconnect,
                 EngineFault::OpenResponseLost }) {
            ModelFixture fixture;
            fixture.engine.defaultFault.kind = kind;
            static constexpr std::size_t count = 1000;
            for (std::size_t i = 0; i < count; ++i)
                BOOST_TEST(fixture.run(isStream).problem.has_value());
            const auto connections = fixture.engine.requests.size() + fixture.engine.resumes.size();
            BOOST_TEST(connections >= count);
            BOOST_TEST(connections <= count + count / 10 + 10);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
