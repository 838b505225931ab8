#include "caller_test_support.h"

#include <boost/test/unit_test.hpp>
#include <glog/logging.h>
#include <random>
#include <sstream>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

/// What a caller makes of a stream.
struct ReceivedStream {
    std::vector<std::string> events; ///< data of the events 0, 1, 2, ...
    std::string problem; ///< data of the error event
    std::size_t comments = 0;
    bool isDone = false;
    bool isSound = true; ///< offsets without gaps, nothing behind the end

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
        isSound = isSound && !isDone && problem.empty();
        if (kind == "error") {
            problem = data;
        } else if (data == "[DONE]") {
            isDone = true;
        } else {
            isSound = isSound && id == std::to_string(events.size());
            events.push_back(data);
        }
    }
};

struct ModelFixture {
    explicit ModelFixture(std::size_t engines = 3, std::uint64_t seed = 0)
        : executor({ time.context, time.clock, engine, selector, retries, time.alarms() }, { .randomSeed = seed })
    {
        std::vector<InstanceRecord> records;
        for (std::size_t i = 0; i < engines; ++i) {
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

    ModelRequestReport run(bool isStream, bool isDeterministic = true, RecordedExchange* other = nullptr)
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
        time.settle();
        return report;
    }

    ReceivedStream received() const { return ReceivedStream(exchange.response.body); }

    std::vector<std::string> wholeAnswer(int variant = 0) const
    {
        std::vector<std::string> out;
        for (std::size_t i = 0; i < engine.length; ++i)
            out.push_back(ScriptedEngine::eventText(variant, i));
        return out;
    }

    /// Returns whether the caller got all events and the end.
    bool isComplete(const ModelRequestReport& report) const
    {
        const auto stream = received();
        return stream.isSound && stream.isDone && stream.problem.empty() && exchange.isEnded
            && stream.events == wholeAnswer() && report.verdict == Verdict::Ran && !report.problem
            && exchange.response.status == 200;
    }

    /// Returns whether the stream ended with an error event of the code, without the end of the HTTP message.
    bool isBrokenOff(std::string_view code) const
    {
        const auto stream = received();
        return stream.isSound && !stream.isDone && !exchange.isEnded
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
    RecordedExchange exchange;
};

/// Keeps the log lines of thousands of scripted failures out of the test output.
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

BOOST_FIXTURE_TEST_SUITE(WholeAnswers, ModelFixture)

// Guards against a changed body and against headers of the engine that reach the caller.
BOOST_AUTO_TEST_CASE(ArePassedOnUnchanged)
{
    engine.answer = jsonResponse(200, "{\"a\" : 1}");
    engine.answer.headers.set("X-Request-Id", "secret");
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

// Guards against a caller that sees the failure of one engine while others work, and against work left on the engine.
BOOST_AUTO_TEST_CASE(AreRetriedOnAnotherEngine)
{
    for (auto kind : { EngineFault::Unreachable, EngineFault::NotStarted, EngineFault::Cut, EngineFault::Silent,
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

// Guards against an error answer of an engine that another one would not give, and against retries of callers' errors.
BOOST_AUTO_TEST_CASE(CallersErrorsArePassedOn)
{
    engine.answer = jsonResponse(400, "{\"error\":1}");
    auto report = run(false);
    BOOST_TEST(report.status == 400u);
    BOOST_TEST(report.attempts == 1u);
    engine.answer = jsonResponse(404, "{}");
    report = run(false);
    BOOST_TEST(report.status == 502u);
    BOOST_TEST(report.attempts == 3u);
}

// Guards against "not run" for a request that may have run, and the reverse.
BOOST_AUTO_TEST_CASE(VerdictIsTheJoinOfAllAttempts)
{
    engine.otherwise.kind = EngineFault::NotStarted;
    auto report = run(false);
    BOOST_TEST((report.problem == ProblemCode::Overloaded));
    BOOST_TEST((report.verdict == Verdict::NotRun));
    BOOST_TEST(exchange.response.headers.find("Bulrush-Verdict").value() == "not-run");
    BOOST_TEST(exchange.response.headers.find("Retry-After").has_value());
    engine.script = { { .kind = EngineFault::Cut } };
    report = run(false);
    BOOST_TEST((report.verdict == Verdict::MayHaveRun));
    engine.otherwise.kind = EngineFault::Unreachable;
    report = run(false);
    BOOST_TEST((report.verdict == Verdict::NotRun));
}

// Guards against an answer that is held back until the deadline although nothing can serve the request.
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

// Guards against an engine that answers after the deadline and keeps working on the request.
BOOST_AUTO_TEST_CASE(EndAtTheDeadline)
{
    engine.pause = 2min;
    const auto begin = time.clock.now();
    const auto report = run(false);
    BOOST_TEST((report.problem == ProblemCode::DeadlineExceeded));
    BOOST_TEST((report.verdict == Verdict::MayHaveRun));
    BOOST_TEST((time.clock.now() - begin <= 60s));
    BOOST_TEST(engine.cancelled.size() == 1u);
}

BOOST_AUTO_TEST_CASE(AreCancelledWhenTheCallerHasGone)
{
    engine.pause = 20s;
    exchange.goneAfter = 0;
    BOOST_TEST(run(false).isCallerGone);
    BOOST_TEST(engine.cancelled.size() == 1u);
    BOOST_TEST(!exchange.isEnded);
}

// Guards against a model with one copy that cannot be reached because a pooled connection of it broke.
BOOST_FIXTURE_TEST_CASE(AreRetriedOnTheOnlyEngine, OneEngine)
{
    engine.script = { { .kind = EngineFault::Cut } };
    BOOST_TEST(run(false).status == 200u);
}

// Guards against teams that share prefix caches, and a preferred upstream that depends on the end of the prompt.
BOOST_AUTO_TEST_CASE(CachesOfTeamsAreSeparate)
{
    BOOST_TEST(cacheSaltOf("zagreb") != cacheSaltOf("split"));
    BOOST_TEST(affinityKeyOf("a", "x") != affinityKeyOf("b", "x"));
    BOOST_TEST(affinityKeyOf("a", "x") == affinityKeyOf("a", "x"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Streams, ModelFixture)

// Guards against a first token that waits for later ones.
BOOST_AUTO_TEST_CASE(BeginWithTheFirstEvent)
{
    engine.pause = 1s;
    const auto begin = time.clock.now();
    const auto report = run(true);
    BOOST_TEST(isComplete(report));
    BOOST_TEST((report.firstToken.value() - begin == 1s));
    const HttpHeaders expected { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-cache" },
        { "Bulrush-Request-Id", "request-1" } };
    BOOST_TEST((exchange.response.headers == expected));
}

BOOST_AUTO_TEST_CASE(WithoutEventsHaveAnEnd)
{
    engine.length = 0;
    BOOST_TEST(isComplete(run(true)));
}

// Guards against a lost or repeated event after a broken or silent connection.
BOOST_AUTO_TEST_CASE(AreResumedBehindTheLastEvent)
{
    for (auto kind : { EngineFault::Cut, EngineFault::Silent, EngineFault::WrongOffset }) {
        exchange.response.body.clear();
        engine.resumes.clear(), engine.requests.clear(), engine.variants.clear();
        engine.script = { { .kind = kind, .after = 2 } };
        BOOST_TEST(isComplete(run(true, false)));
        BOOST_TEST((engine.resumes == std::vector<std::optional<std::uint64_t>> { 1 }));
        BOOST_TEST(engine.requests.size() == 1u);
    }
}

// Guards against a request that runs twice because its connection broke before the first event.
BOOST_AUTO_TEST_CASE(AreResumedFromTheBeginning)
{
    engine.script = { { .kind = EngineFault::LostOpen }, { .kind = EngineFault::Cut } };
    BOOST_TEST(isComplete(run(true, false)));
    BOOST_TEST((engine.resumes == std::vector<std::optional<std::uint64_t>> { std::nullopt, std::nullopt }));
    BOOST_TEST(engine.variants.size() == 1u);
}

// Guards against a duplicated or mixed answer when the engine lost the stream.
BOOST_AUTO_TEST_CASE(AreRepeatedIfTheyAreDeterministic)
{
    engine.script = { { .kind = EngineFault::Cut, .after = 2, .isForgetting = true } };
    BOOST_TEST(isComplete(run(true)));
    BOOST_TEST((engine.addresses.at(0) != engine.addresses.at(1)));
    BOOST_TEST(engine.cancelled.contains(engine.requests.at(0).attemptId));
}

BOOST_AUTO_TEST_CASE(AreRepeatedIfNothingWasDelivered)
{
    engine.script = { { .kind = EngineFault::Cut, .isForgetting = true }, {}, {} };
    const auto report = run(true, false);
    BOOST_TEST(report.attempts == 2u);
    BOOST_TEST((received().events == wholeAnswer(1)));
}

// Guards against silently continuing with another answer.
BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheyCannotBeContinued)
{
    engine.script = { { .kind = EngineFault::Cut, .after = 2, .isForgetting = true } };
    BOOST_TEST(run(true, false).status == 200u);
    BOOST_TEST(isBrokenOff("upstream-failed"));
    BOOST_TEST(received().events.size() == 2u);
}

BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheRepetitionDiffers)
{
    engine.script = { { .kind = EngineFault::Cut, .after = 2, .isForgetting = true }, {}, { .isDifferent = true } };
    run(true);
    BOOST_TEST(isBrokenOff("upstream-failed"));
    BOOST_TEST(received().events.size() == 2u);
}

// Guards against an end marker that belongs to a shorter answer than the one delivered.
BOOST_AUTO_TEST_CASE(EndWithAnErrorIfTheRepetitionIsShorter)
{
    engine.script = { { .kind = EngineFault::Cut, .after = 2, .isForgetting = true }, {},
        { .kind = EngineFault::EarlyEnd, .after = 1 } };
    run(true);
    BOOST_TEST(isBrokenOff("upstream-failed"));
}

// Guards against endless resumes on an engine that accepts them and sends nothing.
BOOST_AUTO_TEST_CASE(AreResumedAFewTimesOnly)
{
    engine.script = { { .kind = EngineFault::Cut, .after = 1 } };
    engine.otherwise.kind = EngineFault::Cut;
    run(true, false);
    BOOST_TEST(isBrokenOff("upstream-failed"));
    BOOST_TEST(engine.resumes.size() == 3u);
}

BOOST_AUTO_TEST_CASE(EndWithAnErrorAtTheDeadline)
{
    engine.pause = 50s;
    const auto report = run(true);
    BOOST_TEST(isBrokenOff("deadline-exceeded"));
    BOOST_TEST((report.problem == ProblemCode::DeadlineExceeded));
    BOOST_TEST(engine.cancelled.size() == 1u);
}

// Guards against a problem that is sent as an event although the status is still open.
BOOST_AUTO_TEST_CASE(ThatNeverBeganAreRefusedWithAStatus)
{
    engine.otherwise.kind = EngineFault::NotStarted;
    const auto report = run(true);
    BOOST_TEST(exchange.response.status == 503u);
    BOOST_TEST(!exchange.isStream);
    BOOST_TEST((report.verdict == Verdict::NotRun));
}

// Guards against an invalid request that is sent to one engine after the other, and against one engine without the
// model that ends the request.
BOOST_AUTO_TEST_CASE(ThatTheEngineRefusesAreNotResumed)
{
    engine.script = { { .kind = EngineFault::Invalid } };
    BOOST_TEST(run(true).status == 400u);
    BOOST_TEST(engine.requests.size() == 1u);
    engine.script = { { .kind = EngineFault::NoModel } };
    RecordedExchange other;
    const auto report = run(true, true, &other);
    BOOST_TEST(report.status == 200u);
    BOOST_TEST(report.attempts == 2u);
    BOOST_TEST(engine.resumes.empty());
}

// Guards against callers and balancers that take a slow engine for a dead connection.
BOOST_AUTO_TEST_CASE(SendCommentsWhileTheEngineIsSlow)
{
    engine.pause = 10s;
    BOOST_TEST(isComplete(run(true)));
    BOOST_TEST(received().comments >= 12u);
}

// Guards against engines that work for callers who have gone, while waiting and while writing.
BOOST_AUTO_TEST_CASE(AreCancelledWhenTheCallerHasGone)
{
    for (auto pause : { 0s, 20s }) {
        RecordedExchange leaving;
        leaving.goneAfter = 1;
        engine.pause = pause;
        engine.cancelled.clear();
        BOOST_TEST(run(true, true, &leaving).isCallerGone);
        BOOST_TEST(engine.cancelled.contains(engine.requests.back().attemptId));
        BOOST_TEST(leaving.writes == 1u);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderRandomFaults)

// Guards against a short, mixed or duplicated answer, a wrong verdict, work left on an engine and a leaked place on an
// upstream, whatever the order of faults. Prints the seed of a failed script.
BOOST_AUTO_TEST_CASE(AStreamIsCompleteOrEndsWithAnError)
{
    std::size_t completed = 0;
    std::size_t brokenOff = 0;
    for (std::uint64_t seed = 1; seed <= 3000; ++seed) {
        ModelFixture fixture(3, seed);
        std::mt19937_64 random(seed);
        auto pick = [&](std::uint64_t n) { return static_cast<std::size_t>(random() % n); };
        fixture.engine.length = pick(8);
        fixture.engine.pause = pick(4) == 0 ? 2s : 0s;
        for (std::size_t i = pick(7); i > 0; --i)
            fixture.engine.script.push_back({ .kind = static_cast<EngineFault::Kind>(pick(11)),
                .after = pick(6),
                .isForgetting = pick(3) == 0,
                .isDifferent = pick(4) == 0 });
        // An early end of the first answer cannot be told from the true end.
        for (auto& it : fixture.engine.script)
            it.kind = it.kind == EngineFault::EarlyEnd ? EngineFault::Cut : it.kind;
        const auto report = fixture.run(true, pick(2) == 0);
        const auto stream = fixture.received();
        bool isFromOneAnswer = stream.events.empty();
        for (const auto& [id, variant] : fixture.engine.variants) {
            const auto whole = fixture.wholeAnswer(variant);
            const bool isPrefix = stream.events.size() <= whole.size()
                && std::equal(stream.events.begin(), stream.events.end(), whole.begin());
            isFromOneAnswer = isFromOneAnswer || (isPrefix && (!stream.isDone || stream.events.size() == whole.size()));
        }
        const bool isDone = stream.isDone && stream.problem.empty() && fixture.exchange.isEnded
            && stream.events.size() == fixture.engine.length;
        const bool isError = !stream.isDone && !stream.problem.empty() && !fixture.exchange.isEnded;
        const bool isRefusal = !fixture.exchange.isStream && fixture.exchange.response.status >= 400;
        BOOST_TEST(stream.isSound, "seed " << seed);
        BOOST_TEST(isFromOneAnswer, "seed " << seed);
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
        brokenOff += isError;
    }
    BOOST_TEST_MESSAGE("seeds 1 to 3000: " << completed << " complete, " << brokenOff << " ended with an error event");
    BOOST_TEST(completed > 1000u);
    BOOST_TEST(brokenOff > 100u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderATotalOutage)

// Guards against retries and resumes that multiply the load on engines that fail.
BOOST_AUTO_TEST_CASE(AttemptsStayWithinTheBudget)
{
    for (bool isStream : { false, true }) {
        for (auto kind :
            { EngineFault::Unreachable, EngineFault::NotStarted, EngineFault::Cut, EngineFault::LostOpen }) {
            ModelFixture fixture;
            fixture.engine.otherwise.kind = kind;
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
