#include "service_calls_core.h"
#include "service_calls_fixture.h"

#include "memory_platform.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <glog/logging.h>

using namespace bulrushstack;
using namespace std::chrono_literals;

namespace {

const Failure refused { .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "refused" };
const Failure unreachable { .code = Errc::ConnectionClosed, .verdict = Verdict::NotRun, .detail = "unreachable" };
const Failure lost { .code = Errc::ConnectionClosed, .verdict = Verdict::MayHaveRun, .detail = "lost" };

/// Answers calls as scripted, and with status 200 behind the end of the script. Logs what it was sent.
class ScriptedService final : public PlainService {
public:
    std::deque<Result<HttpResponse>> script;
    std::map<std::string, HttpResponse> executed; ///< by key; what a status read shows
    std::vector<std::pair<Address, ServiceCall>> calls;
    std::vector<AttemptLimits> limits;
    std::function<boost::asio::awaitable<void>()> beforeAnswer;

    boost::asio::awaitable<Result<HttpResponse>> call(Address service, ServiceCall call, AttemptLimits limit) override
    {
        calls.emplace_back(std::move(service), std::move(call));
        limits.push_back(limit);
        if (beforeAnswer)
            co_await beforeAnswer();
        Result<HttpResponse> out = HttpResponse { .status = 200, .body = "done" };
        if (!script.empty()) {
            out = std::move(script.front());
            script.pop_front();
        }
        co_return out;
    }

    boost::asio::awaitable<Result<ServiceCallStatus>> status(Address, std::string, std::string key, SteadyTime) override
    {
        auto it = executed.find(key);
        ServiceCallStatus out { .wasExecuted = it != executed.end() };
        if (out.wasExecuted)
            out.response = it->second;
        co_return out;
    }
};

/// Two instances, a and b, with one table service and one fake of the services.
struct Fixture {
    Fixture() { directory.updateInstanceList(serviceRoster()); }

    ServiceCallDependencies dependenciesOf(std::string id, ServiceCallExecutor** peer)
    {
        auto query
            = [this, peer](std::string, nlohmann::json request) -> boost::asio::awaitable<Result<nlohmann::json>> {
            ++queries;
            if (!arePeersReachable)
                co_return Failure { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "no reply" };
            co_return (*peer)->answerQuery(request);
        };
        return { .context = context,
            .clock = clock,
            .identity = { .id = std::move(id), .zone = "quay-a", .incarnation = 1 },
            .tables = tables,
            .services = services,
            .selector = selector,
            .retries = retries,
            .queryPeer = query };
    }

    ServiceOutcome run(ServiceCallExecutor& executor, ServiceRequest request, std::chrono::nanoseconds limit = 1h)
    {
        return runAwaitable(context, executor.execute(serviceCallContext(clock, limit), std::move(request)));
    }

    void drain() { runAwaitable(context, executorA.drain(clock.now() + 1h)); }

    std::string stateOf(std::string_view key)
    {
        const auto row = tables.find(journalRowId("zagreb", key));
        return row ? row->value.at("state").get<std::string>() : "absent";
    }

    /// Lets the table service fail the next commits.
    void failCommits(std::deque<FakeFault> faults)
    {
        tables.fault = [faults](std::string_view operation) mutable {
            if (operation != "commit" || faults.empty())
                return FakeFault::None;
            const auto out = faults.front();
            faults.pop_front();
            return out;
        };
    }

    ManualClock clock;
    MemoryTableService tables;
    ScriptedService services;
    InstanceDirectory directory { clock, {} };
    UpstreamSelector selector { directory, {} };
    RetryBudget retries;
    boost::asio::io_context context; // destroyed before what its coroutines refer to
    bool arePeersReachable = true;
    int queries = 0;
    ServiceCallOptions options = optionsWithoutWaits();
    ServiceCallExecutor* peerOfA = &executorB;
    ServiceCallExecutor* peerOfB = &executorA;
    ServiceCallExecutor executorA { dependenciesOf("a", &peerOfA), options };
    ServiceCallExecutor executorB { dependenciesOf("b", &peerOfB), options };
};

const Problem& problemOf(const ServiceOutcome& outcome) { return std::get<Problem>(outcome.answer); }

std::string bodyOf(const ServiceOutcome& outcome) { return std::get<HttpResponse>(outcome.answer).body; }

void checkRefusal(const ServiceOutcome& outcome, ProblemCode code, Verdict verdict, bool hasRetryAfter)
{
    BOOST_REQUIRE(std::holds_alternative<Problem>(outcome.answer));
    BOOST_TEST(toString(problemOf(outcome).code) == toString(code));
    BOOST_TEST(toString(outcome.verdict) == toString(verdict));
    BOOST_TEST(problemOf(outcome).retryAfter.has_value() == hasRetryAfter);
}

const ServiceRequest readCall = serviceRequest("shop", "GET", "");
const ServiceRequest order = serviceRequest("shop", "POST", "k1");
const ServiceRequest publish = serviceRequest("board", "POST", "k1");

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceCalls)

BOOST_FIXTURE_TEST_SUITE(IdempotentCalls, Fixture)

// Guards against a retry on the upstream that just failed, and against a verdict that forgets earlier attempts.
BOOST_AUTO_TEST_CASE(AreRetriedOnAnotherUpstream)
{
    services.script = { lost };
    const auto outcome = run(executorA, readCall);
    BOOST_TEST(toString(outcome.verdict) == "ran");
    BOOST_REQUIRE(services.calls.size() == 2U);
    BOOST_TEST(services.calls[0].first.port != services.calls[1].first.port);
    BOOST_TEST(services.calls[0].second.attemptId != services.calls[1].second.attemptId);
    services.script = { lost, unreachable };
    checkRefusal(run(executorA, readCall), ProblemCode::UpstreamFailed, Verdict::MayHaveRun, true);
}

// Guards against retries that multiply the load of a failing service.
BOOST_AUTO_TEST_CASE(StayWithinTheRetryBudget)
{
    while (retries.tryTake()) { }
    services.script = { refused };
    checkRefusal(run(executorA, readCall), ProblemCode::Overloaded, Verdict::NotRun, true);
    BOOST_TEST(services.calls.size() == 1U);
}

// Guards against work for a caller that no longer waits.
BOOST_AUTO_TEST_CASE(AreNotSentAfterTheDeadline)
{
    checkRefusal(run(executorA, readCall, 0s), ProblemCode::DeadlineExceeded, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
}

// Guards against a table service that becomes a dependency of calls that may be repeated.
BOOST_AUTO_TEST_CASE(NeedNoJournalEvenWithAKey)
{
    failCommits({ FakeFault::Unavailable });
    auto request = readCall;
    request.idempotencyKey = "k1";
    BOOST_TEST(toString(run(executorA, request).verdict) == "ran");
    BOOST_TEST(stateOf("k1") == "absent");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(NonIdempotentCalls, Fixture)

// Guards against a call that could not be told apart from its resend.
BOOST_AUTO_TEST_CASE(NeedAKey)
{
    checkRefusal(run(executorA, serviceRequest("shop", "POST", "")), ProblemCode::IdempotencyKeyRequired,
        Verdict::NotRun, false);
}

// Guards against a second execution, and against another request under the same key.
BOOST_AUTO_TEST_CASE(RunOnceAndAreReplayedOnEveryInstance)
{
    BOOST_TEST(!run(executorA, order).isReplay);
    drain();
    for (auto* executor : { &executorA, &executorB }) {
        const auto outcome = run(*executor, order);
        BOOST_TEST(outcome.isReplay);
        BOOST_TEST(bodyOf(outcome) == "done");
    }
    checkRefusal(run(executorB, serviceRequest("shop", "POST", "k1", "other")), ProblemCode::KeyConflict,
        Verdict::NotRun, false);
    BOOST_TEST(services.calls.size() == 1U);
}

// Guards against a stale pooled connection, which would turn a certain not-run into may-have-run.
BOOST_AUTO_TEST_CASE(UseNoConnectionThatWasIdleForLong)
{
    run(executorA, order);
    run(executorA, readCall);
    BOOST_TEST((services.limits[0].maxIdle == options.maxIdleForNonIdempotent));
    BOOST_TEST((services.limits[1].maxIdle > options.maxIdleForNonIdempotent));
}

// Guards against a key of one team that shows or blocks the call of another team at a shared service.
BOOST_AUTO_TEST_CASE(KeepTheKeysOfTeamsApart)
{
    run(executorA, order);
    drain();
    services.script = { lost };
    auto context = serviceCallContext(clock, 1h, "split");
    services.executed["zagreb:k1"] = { .status = 200, .body = "of zagreb" };
    const auto outcome = runAwaitable(this->context, executorA.execute(context, order));
    checkRefusal(outcome, ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    BOOST_TEST(services.calls[1].second.idempotencyKey == "split:k1");
}

// Guards against a refusal that ends the request although nothing was run, and one that is passed off as a run.
BOOST_AUTO_TEST_CASE(GoToAnotherUpstreamOnlyIfTheyWereNotRun)
{
    services.script = { refused };
    BOOST_TEST(toString(run(executorA, publish).verdict) == "ran");
    BOOST_TEST(services.calls.size() == 2U);
    services.script = { lost };
    checkRefusal(
        run(executorA, serviceRequest("board", "POST", "k2")), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, false);
    BOOST_TEST(services.calls.size() == 3U);
    drain();
    checkRefusal(
        run(executorB, serviceRequest("board", "POST", "k2")), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, false);
    BOOST_TEST(services.calls.size() == 3U);
}

// Guards against a key that stays blocked after an answer that said not-run.
BOOST_AUTO_TEST_CASE(AreTakenOverAfterNotRun)
{
    services.script = { unreachable, unreachable };
    checkRefusal(run(executorA, order), ProblemCode::NoUpstream, Verdict::NotRun, true);
    drain();
    BOOST_TEST(stateOf("k1") == "abandoned");
    directory.recordConnection("shop1", true);
    directory.recordConnection("shop2", true);
    BOOST_TEST(toString(run(executorB, order).verdict) == "ran");
    BOOST_TEST(stateOf("k1") == "finished");
}

// Guards against a rerun of an old key.
BOOST_AUTO_TEST_CASE(AreRefusedAfterTheRetention)
{
    run(executorA, order);
    drain();
    clock.advance(options.retention + 1s);
    checkRefusal(run(executorB, order), ProblemCode::KeyExpired, Verdict::Ran, false);
}

// Guards against a truncated replay, and a second run of a call whose answer was too long to be kept.
BOOST_AUTO_TEST_CASE(SayThatALongAnswerCannotBeReplayed)
{
    services.script = { HttpResponse { .status = 200, .body = std::string(options.replayLimit + 1, 'x') } };
    BOOST_TEST(bodyOf(run(executorA, order)).size() == options.replayLimit + 1);
    drain();
    const auto outcome = run(executorB, order);
    checkRefusal(outcome, ProblemCode::OutcomeUnknown, Verdict::Ran, false);
    BOOST_TEST(services.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LostAnswersOfTheService, Fixture)

// Guards against an outcome that stays open although the service knows it.
BOOST_AUTO_TEST_CASE(AreLookedUpByTheStatusRead)
{
    services.script = { lost };
    services.executed["zagreb:k1"] = { .status = 201, .body = "executed" };
    const auto outcome = run(executorA, order);
    BOOST_TEST(toString(outcome.verdict) == "ran");
    BOOST_TEST(bodyOf(outcome) == "executed");
    drain();
    BOOST_TEST(bodyOf(run(executorB, order)) == "executed");
}

// Guards against a status read that is taken as proof that the request will never arrive.
BOOST_AUTO_TEST_CASE(StayOpenWhileTheServiceHasNotExecutedTheCall)
{
    services.script = { lost };
    checkRefusal(run(executorA, order), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    drain();
    checkRefusal(run(executorB, order), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    services.executed["zagreb:k1"] = { .status = 201, .body = "arrived late" };
    BOOST_TEST(bodyOf(run(executorB, order)) == "arrived late");
    services.executed.clear();
    BOOST_TEST(bodyOf(run(executorA, order)) == "arrived late");
    BOOST_TEST(services.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(FaultsOfTheTableService, Fixture)

// Guards against a call that waits for, or is sent without, its record.
BOOST_AUTO_TEST_CASE(RefuseTheCallWhileTheServiceIsDown)
{
    tables.fault = [](std::string_view) { return FakeFault::Unavailable; };
    checkRefusal(run(executorA, order), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
    tables.fault = nullptr;
    drain();
    BOOST_TEST(stateOf("k1") == "absent");
}

// Guards against a claim that took effect and blocks its own writer.
BOOST_AUTO_TEST_CASE(AClaimWithoutAnAnswerIsRecognisedOnReadBack)
{
    failCommits({ FakeFault::LostResponse });
    BOOST_TEST(toString(run(executorA, order).verdict) == "ran");
}

// Guards against a dispatch after an absent read-back, and against a late insert that blocks the key for good.
BOOST_AUTO_TEST_CASE(AClaimInDoubtIsAbandonedInTheBackground)
{
    failCommits({ FakeFault::LostRequest, FakeFault::LostRequest, FakeFault::LostResponse });
    checkRefusal(run(executorA, order), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
    drain();
    BOOST_TEST(stateOf("k1") == "abandoned");
    BOOST_TEST(toString(run(executorB, order).verdict) == "ran");
}

// Guards against not-run for a key that another attempt may have run: after a conflict the row is known to exist.
BOOST_AUTO_TEST_CASE(AFoundRowThatCannotBeReadMayHaveRun)
{
    run(executorA, order);
    drain();
    tables.fault
        = [](std::string_view operation) { return operation == "read" ? FakeFault::Unavailable : FakeFault::None; };
    checkRefusal(run(executorB, order), ProblemCode::StoreUnavailable, Verdict::MayHaveRun, true);
}

// Guards against an answer that waits for the record, and against an outcome that is never recorded.
BOOST_AUTO_TEST_CASE(TheOutcomeIsRecordedWhenTheServiceIsBack)
{
    failCommits({ FakeFault::None, FakeFault::Unavailable, FakeFault::LostRequest, FakeFault::LostResponse });
    BOOST_TEST(toString(run(executorA, order).verdict) == "ran");
    drain();
    BOOST_TEST(stateOf("k1") == "finished");
}

// Guards against calls that each wait for a table service that has stopped to answer, and against a refusal that lasts.
BOOST_AUTO_TEST_CASE(ASilentServiceRefusesLaterCallsAtOnce)
{
    options.settleInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    int accesses = 0;
    tables.fault = [&](std::string_view) {
        ++accesses;
        return FakeFault::LostRequest;
    };
    checkRefusal(run(executor, order), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    const int before = accesses;
    checkRefusal(
        run(executor, serviceRequest("shop", "POST", "k2")), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(accesses == before);
    tables.fault = nullptr;
    clock.advance(options.storeTimeout);
    BOOST_TEST(toString(run(executor, serviceRequest("shop", "POST", "k2")).verdict) == "ran");
}

// Guards against a shutdown that never ends because the table service is down.
BOOST_AUTO_TEST_CASE(DrainingGivesUpAtItsDeadline)
{
    options.settleInterval = 1h;
    options.sweepInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    failCommits(std::deque(1000, FakeFault::LostRequest));
    checkRefusal(run(executor, order), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    runAwaitable(context, executor.drain(clock.now()));
    context.restart();
    context.run(); // returns once no timer of the executor is left
    BOOST_TEST(stateOf("k1") == "absent");
}

// Guards against memory that grows without bound while outcomes cannot be recorded.
BOOST_AUTO_TEST_CASE(TooManyUnsettledCallsRefuseFurtherOnes)
{
    options.outstandingLimit = 1;
    options.settleInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    failCommits({ FakeFault::None, FakeFault::Unavailable });
    BOOST_TEST(toString(run(executor, order).verdict) == "ran");
    checkRefusal(run(executor, serviceRequest("shop", "POST", "k2")), ProblemCode::Overloaded, Verdict::NotRun, true);
    BOOST_TEST(run(executor, order).isReplay);
}

BOOST_AUTO_TEST_SUITE_END()

// Guards against a journal that grows for ever.
BOOST_FIXTURE_TEST_CASE(OldRowsAreSweptInTheBackground, Fixture)
{
    run(executorA, order);
    drain();
    clock.advance(options.removalAge + 1s);
    options.sweepInterval = 1ns;
    ServiceCallExecutor sweeper(dependenciesOf("c", &peerOfA), options);
    context.restart();
    while (stateOf("k1") != "absent" && context.run_one() > 0) { }
    BOOST_TEST(stateOf("k1") == "absent");
}

BOOST_FIXTURE_TEST_SUITE(SeveralSends, Fixture)

/// Holds the first call at the service and lets another send happen meanwhile.
struct HeldCall {
    explicit HeldCall(Fixture& fixture)
        : fixture(fixture)
        , release(fixture.context)
    {
        fixture.services.beforeAnswer = [this]() -> boost::asio::awaitable<void> { co_await release.wait(1h); };
    }

    /// Lets the held calls end, since they refer to this object.
    ~HeldCall()
    {
        release.notify();
        poll();
    }
    HeldCall(const HeldCall&) = delete;
    HeldCall& operator=(const HeldCall&) = delete;

    static boost::asio::awaitable<void> sendTask(
        ServiceCallExecutor& executor, RequestContext context, std::optional<ServiceOutcome>& outcome)
    {
        outcome = co_await executor.execute(std::move(context), order);
    }

    void send(ServiceCallExecutor& executor, std::optional<ServiceOutcome>& outcome)
    {
        auto task = sendTask(executor, serviceCallContext(fixture.clock, 1h), outcome);
        boost::asio::co_spawn(fixture.context, std::move(task), boost::asio::detached);
        poll();
    }

    void poll()
    {
        fixture.context.restart();
        fixture.context.poll();
    }

    Fixture& fixture;
    Signal release;
    std::optional<ServiceOutcome> first;
    std::optional<ServiceOutcome> second;
};

// Guards against two executions when a caller resends before the first answer.
BOOST_AUTO_TEST_CASE(OnTheSameInstanceShareOneRun)
{
    HeldCall held(*this);
    held.send(executorA, held.first);
    held.send(executorA, held.second);
    BOOST_TEST(!held.second.has_value());
    const auto conflict = run(executorA, serviceRequest("shop", "POST", "k1", "other"));
    checkRefusal(conflict, ProblemCode::KeyConflict, Verdict::NotRun, false);
    held.release.notify();
    held.poll();
    BOOST_REQUIRE(held.first.has_value());
    BOOST_REQUIRE(held.second.has_value());
    BOOST_TEST(!held.first->isReplay);
    BOOST_TEST(held.second->isReplay);
    BOOST_TEST(services.calls.size() == 1U);
}

// Guards against an instance that answers or runs the request itself while the writer still runs it.
BOOST_AUTO_TEST_CASE(OnAnotherInstanceWaitForTheWriter)
{
    HeldCall held(*this);
    held.send(executorA, held.first);
    options.pollInterval = 1ms;
    ServiceCallExecutor waiting(dependenciesOf("c", &peerOfB), options);
    held.send(waiting, held.second);
    BOOST_TEST(queries == 1);
    BOOST_TEST(!held.second.has_value());
    held.release.notify();
    context.restart();
    while (!held.second && context.run_one() > 0) { }
    BOOST_TEST(held.second->isReplay);
    BOOST_TEST(services.calls.size() == 1U);
}

// Guards against a take-over from a writer that does not reply.
BOOST_AUTO_TEST_CASE(OfASilentWriterMayHaveRun)
{
    HeldCall held(*this);
    held.send(executorA, held.first);
    arePeersReachable = false;
    checkRefusal(run(executorB, order), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    services.executed["zagreb:k1"] = { .status = 200, .body = "executed" };
    BOOST_TEST(bodyOf(run(executorB, order)) == "executed");
    BOOST_TEST(services.calls.size() == 1U);
}

// Guards against a call that ends half-way because its caller has left.
BOOST_AUTO_TEST_CASE(GoOnWhenTheCallerIsGone)
{
    HeldCall held(*this);
    boost::asio::cancellation_signal caller;
    auto task = HeldCall::sendTask(executorA, serviceCallContext(clock, 1h), held.first);
    boost::asio::co_spawn(
        context, std::move(task), boost::asio::bind_cancellation_slot(caller.slot(), boost::asio::detached));
    held.poll();
    caller.emit(boost::asio::cancellation_type::terminal);
    held.poll();
    BOOST_REQUIRE(services.calls.size() == 1U);
    held.release.notify();
    held.poll();
    BOOST_TEST(stateOf("k1") == "finished");
    BOOST_TEST(!held.first.has_value());
}

// Guards against an instance that answers for another process with its id.
BOOST_AUTO_TEST_CASE(QueriesOfAnEarlierIncarnationOrMalformedOnesAreUnknown)
{
    HeldCall held(*this);
    held.send(executorA, held.first);
    const auto attempt = tables.find(journalRowId("zagreb", "k1"))->value.at("attempt");
    const auto ask
        = [&](nlohmann::json request) { return executorA.answerQuery(request).at("state").get<std::string>(); };
    BOOST_TEST(ask({ { "attempt", attempt }, { "target_incarnation", 1U } }) == "running");
    BOOST_TEST(ask({ { "attempt", attempt }, { "target_incarnation", 2U } }) == "unknown");
    BOOST_TEST(ask({ { "attempt", attempt } }) == "unknown");
    BOOST_TEST(ask("text") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
