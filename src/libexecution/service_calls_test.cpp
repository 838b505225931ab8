#include "service_calls_core.h"
#include "service_calls_test_support.h"

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

/// A service that responds to calls as scripted, and with status 200 when the script is used up. Records all calls.
class ScriptedService final : public ServiceClient {
public:
    std::deque<Result<HttpResponse>> script;
    std::map<std::string, HttpResponse> executed; ///< responses of the status endpoint by idempotency key
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

/// Two instances, a and b, that share a table service and a scripted service.
struct Fixture {
    Fixture() { directory.updateInstanceList(serviceRoster()); }

    ServiceCallDependencies dependenciesOf(std::string id, ServiceCallExecutor** peer)
    {
        auto query
            = [this, peer](std::string, nlohmann::json request) -> boost::asio::awaitable<Result<nlohmann::json>> {
            ++queries;
            if (!arePeersReachable)
                co_return Failure { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "no reply" };
            co_return (*peer)->answerJournalQuery(request);
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

    /// Makes the next commits of the table service fail with the given faults.
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
    boost::asio::io_context context; // destroyed before the objects that suspended coroutines refer to
    bool arePeersReachable = true;
    int queries = 0;
    ServiceCallOptions options = optionsWithoutWaits();
    ServiceCallExecutor* peerOfA = &executorB;
    ServiceCallExecutor* peerOfB = &executorA;
    ServiceCallExecutor executorA { dependenciesOf("a", &peerOfA), options };
    ServiceCallExecutor executorB { dependenciesOf("b", &peerOfB), options };
};

const Problem& problemOf(const ServiceOutcome& outcome) { return std::get<Problem>(outcome.result); }

std::string bodyOf(const ServiceOutcome& outcome) { return std::get<HttpResponse>(outcome.result).body; }

void checkRefusal(const ServiceOutcome& outcome, ProblemCode code, Verdict verdict, bool hasRetryAfter)
{
    BOOST_REQUIRE(std::holds_alternative<Problem>(outcome.result));
    BOOST_TEST(toString(problemOf(outcome).code) == toString(code));
    BOOST_TEST(toString(outcome.verdict) == toString(verdict));
    BOOST_TEST(problemOf(outcome).retryAfter.has_value() == hasRetryAfter);
}

const ServiceRequest idempotentCall = serviceRequest("shop", "GET", "");
const ServiceRequest orderCall = serviceRequest("shop", "POST", "k1");
const ServiceRequest announcement = serviceRequest("board", "POST", "k1");

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceCalls)

BOOST_FIXTURE_TEST_SUITE(IdempotentCalls, Fixture)

// A retry must use another upstream, and the verdict must cover all attempts.
BOOST_AUTO_TEST_CASE(AreRetriedOnAnotherUpstream)
{
    services.script = { lost };
    const auto outcome = run(executorA, idempotentCall);
    BOOST_TEST(toString(outcome.verdict) == "ran");
    BOOST_REQUIRE(services.calls.size() == 2U);
    BOOST_TEST(services.calls[0].first.port != services.calls[1].first.port);
    BOOST_TEST(services.calls[0].second.attemptId != services.calls[1].second.attemptId);
    services.script = { lost, unreachable };
    checkRefusal(run(executorA, idempotentCall), ProblemCode::UpstreamFailed, Verdict::MayHaveRun, true);
}

// Without retry budget there must be no retry, so that retries do not multiply the load on a failing service.
BOOST_AUTO_TEST_CASE(StayWithinTheRetryBudget)
{
    while (retries.tryConsume()) { }
    services.script = { refused };
    checkRefusal(run(executorA, idempotentCall), ProblemCode::Overloaded, Verdict::NotRun, true);
    BOOST_TEST(services.calls.size() == 1U);
}

// A call whose deadline has passed must not be sent.
BOOST_AUTO_TEST_CASE(AreNotSentAfterTheDeadline)
{
    checkRefusal(run(executorA, idempotentCall, 0s), ProblemCode::DeadlineExceeded, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
}

// Idempotent calls must not use the journal, so that they work while the table service is down.
BOOST_AUTO_TEST_CASE(NeedNoJournalEvenWithAKey)
{
    failCommits({ FakeFault::Unavailable });
    auto request = idempotentCall;
    request.idempotencyKey = "k1";
    BOOST_TEST(toString(run(executorA, request).verdict) == "ran");
    BOOST_TEST(stateOf("k1") == "absent");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(NonIdempotentCalls, Fixture)

// A non-idempotent call without a key must be refused, since a resend could not be recognised.
BOOST_AUTO_TEST_CASE(NeedAKey)
{
    checkRefusal(run(executorA, serviceRequest("shop", "POST", "")), ProblemCode::IdempotencyKeyRequired,
        Verdict::NotRun, false);
}

// A resend must get the recorded response on every instance, and another request with the same key must be refused.
BOOST_AUTO_TEST_CASE(RunOnceAndAreReplayedOnEveryInstance)
{
    BOOST_TEST(!run(executorA, orderCall).isReplay);
    drain();
    for (auto* executor : { &executorA, &executorB }) {
        const auto outcome = run(*executor, orderCall);
        BOOST_TEST(outcome.isReplay);
        BOOST_TEST(bodyOf(outcome) == "done");
    }
    checkRefusal(run(executorB, serviceRequest("shop", "POST", "k1", "other")), ProblemCode::KeyConflict,
        Verdict::NotRun, false);
    BOOST_TEST(services.calls.size() == 1U);
}

// Non-idempotent calls must not use connections that were idle for long: a failure on a stale one is may-have-run.
BOOST_AUTO_TEST_CASE(UseNoConnectionThatWasIdleForLong)
{
    run(executorA, orderCall);
    run(executorA, idempotentCall);
    BOOST_TEST((services.limits[0].maxIdle == options.maxIdleForNonIdempotent));
    BOOST_TEST((services.limits[1].maxIdle > options.maxIdleForNonIdempotent));
}

// The same key of two teams must not collide in a service that both use; one team could see the other's response.
BOOST_AUTO_TEST_CASE(KeepTheKeysOfTeamsApart)
{
    run(executorA, orderCall);
    drain();
    services.script = { lost };
    auto context = serviceCallContext(clock, 1h, "split");
    services.executed["zagreb:k1"] = { .status = 200, .body = "of zagreb" };
    const auto outcome = runAwaitable(this->context, executorA.execute(context, orderCall));
    checkRefusal(outcome, ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    BOOST_TEST(services.calls[1].second.idempotencyKey == "split:k1");
}

// A call must be retried if it was refused, and must not be retried if it may have run.
BOOST_AUTO_TEST_CASE(GoToAnotherUpstreamOnlyIfTheyWereNotRun)
{
    services.script = { refused };
    BOOST_TEST(toString(run(executorA, announcement).verdict) == "ran");
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

// After the verdict not-run, the key must be usable again.
BOOST_AUTO_TEST_CASE(AreTakenOverAfterNotRun)
{
    services.script = { unreachable, unreachable };
    checkRefusal(run(executorA, orderCall), ProblemCode::NoUpstream, Verdict::NotRun, true);
    drain();
    BOOST_TEST(stateOf("k1") == "abandoned");
    directory.recordConnection("shop1", true);
    directory.recordConnection("shop2", true);
    BOOST_TEST(toString(run(executorB, orderCall).verdict) == "ran");
    BOOST_TEST(stateOf("k1") == "finished");
}

// A key that is older than the retention must not be executed again.
BOOST_AUTO_TEST_CASE(AreRefusedAfterTheRetention)
{
    run(executorA, orderCall);
    drain();
    clock.advance(options.retention + 1s);
    checkRefusal(run(executorB, orderCall), ProblemCode::KeyExpired, Verdict::Ran, false);
}

// A call whose response was too long to be kept must neither be replayed truncated nor be executed again.
BOOST_AUTO_TEST_CASE(SayThatALongResponseCannotBeReplayed)
{
    services.script = { HttpResponse { .status = 200, .body = std::string(options.replaySizeLimit + 1, 'x') } };
    BOOST_TEST(bodyOf(run(executorA, orderCall)).size() == options.replaySizeLimit + 1);
    drain();
    const auto outcome = run(executorB, orderCall);
    checkRefusal(outcome, ProblemCode::OutcomeUnknown, Verdict::Ran, false);
    BOOST_TEST(services.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LostResponsesOfTheService, Fixture)

// If the response is lost, the outcome must be obtained from the status endpoint of the service.
BOOST_AUTO_TEST_CASE(AreLookedUpByTheStatusRead)
{
    services.script = { lost };
    services.executed["zagreb:k1"] = { .status = 201, .body = "executed" };
    const auto outcome = run(executorA, orderCall);
    BOOST_TEST(toString(outcome.verdict) == "ran");
    BOOST_TEST(bodyOf(outcome) == "executed");
    drain();
    BOOST_TEST(bodyOf(run(executorB, orderCall)) == "executed");
}

// A status query without an execution does not prove that the request will not arrive later.
BOOST_AUTO_TEST_CASE(StayOpenWhileTheServiceHasNotExecutedTheCall)
{
    services.script = { lost };
    checkRefusal(run(executorA, orderCall), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    drain();
    checkRefusal(run(executorB, orderCall), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    services.executed["zagreb:k1"] = { .status = 201, .body = "arrived late" };
    BOOST_TEST(bodyOf(run(executorB, orderCall)) == "arrived late");
    services.executed.clear();
    BOOST_TEST(bodyOf(run(executorA, orderCall)) == "arrived late");
    BOOST_TEST(services.calls.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(FaultsOfTheTableService, Fixture)

// While the table service is down, a call must be refused at once and not be sent without a journal row.
BOOST_AUTO_TEST_CASE(RefuseTheCallWhileTheServiceIsDown)
{
    tables.fault = [](std::string_view) { return FakeFault::Unavailable; };
    checkRefusal(run(executorA, orderCall), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
    tables.fault = nullptr;
    drain();
    BOOST_TEST(stateOf("k1") == "absent");
}

// A claim that was written although its response was lost must not block the call that made it.
BOOST_AUTO_TEST_CASE(AClaimWithoutAResponseIsRecognisedOnReadBack)
{
    failCommits({ FakeFault::LostResponse });
    BOOST_TEST(toString(run(executorA, orderCall).verdict) == "ran");
}

// If the row does not exist on read-back, the claim may still be written: the call must not be dispatched, and the
// claim must be abandoned so that it does not block the key.
BOOST_AUTO_TEST_CASE(AClaimInDoubtIsAbandonedInTheBackground)
{
    failCommits({ FakeFault::LostRequest, FakeFault::LostRequest, FakeFault::LostResponse });
    checkRefusal(run(executorA, orderCall), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(services.calls.empty());
    drain();
    BOOST_TEST(stateOf("k1") == "abandoned");
    BOOST_TEST(toString(run(executorB, orderCall).verdict) == "ran");
}

// A conflict shows that the row exists, so another attempt may have run and the verdict must not be not-run.
BOOST_AUTO_TEST_CASE(AFoundRowThatCannotBeReadMayHaveRun)
{
    run(executorA, orderCall);
    drain();
    tables.fault
        = [](std::string_view operation) { return operation == "read" ? FakeFault::Unavailable : FakeFault::None; };
    checkRefusal(run(executorB, orderCall), ProblemCode::StoreUnavailable, Verdict::MayHaveRun, true);
}

// The response must not wait until the outcome is recorded, and the write must be retried until it succeeds.
BOOST_AUTO_TEST_CASE(TheOutcomeIsRecordedWhenTheServiceIsBack)
{
    failCommits({ FakeFault::None, FakeFault::Unavailable, FakeFault::LostRequest, FakeFault::LostResponse });
    BOOST_TEST(toString(run(executorA, orderCall).verdict) == "ran");
    drain();
    BOOST_TEST(stateOf("k1") == "finished");
}

// After a timeout of the table service, later calls must be refused without waiting for it, but only for a limited
// time.
BOOST_AUTO_TEST_CASE(AnUnresponsiveServiceRefusesLaterCallsAtOnce)
{
    options.journalRetryInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    int accesses = 0;
    tables.fault = [&](std::string_view) {
        ++accesses;
        return FakeFault::LostRequest;
    };
    checkRefusal(run(executor, orderCall), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    const int before = accesses;
    checkRefusal(
        run(executor, serviceRequest("shop", "POST", "k2")), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    BOOST_TEST(accesses == before);
    tables.fault = nullptr;
    clock.advance(options.storeTimeout);
    BOOST_TEST(toString(run(executor, serviceRequest("shop", "POST", "k2")).verdict) == "ran");
}

// Draining must end at its deadline, even if the table service is down.
BOOST_AUTO_TEST_CASE(DrainingGivesUpAtItsDeadline)
{
    options.journalRetryInterval = 1h;
    options.sweepInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    failCommits(std::deque(1000, FakeFault::LostRequest));
    checkRefusal(run(executor, orderCall), ProblemCode::StoreUnavailable, Verdict::NotRun, true);
    runAwaitable(context, executor.drain(clock.now()));
    context.restart();
    context.run(); // returns when no timer of the executor is pending
    BOOST_TEST(stateOf("k1") == "absent");
}

// The number of calls with unrecorded outcomes must be limited, since they use memory while the table service is down.
BOOST_AUTO_TEST_CASE(TooManyUnrecordedCallsRefuseFurtherOnes)
{
    options.outstandingLimit = 1;
    options.journalRetryInterval = 1h;
    ServiceCallExecutor executor(dependenciesOf("c", &peerOfA), options);
    failCommits({ FakeFault::None, FakeFault::Unavailable });
    BOOST_TEST(toString(run(executor, orderCall).verdict) == "ran");
    checkRefusal(run(executor, serviceRequest("shop", "POST", "k2")), ProblemCode::Overloaded, Verdict::NotRun, true);
    BOOST_TEST(run(executor, orderCall).isReplay);
}

BOOST_AUTO_TEST_SUITE_END()

// Old rows must be removed, so that the journal does not grow without bound.
BOOST_FIXTURE_TEST_CASE(OldRowsAreSweptInTheBackground, Fixture)
{
    run(executorA, orderCall);
    drain();
    clock.advance(options.rowRemovalAge + 1s);
    options.sweepInterval = 1ns;
    ServiceCallExecutor sweeper(dependenciesOf("c", &peerOfA), options);
    context.restart();
    while (stateOf("k1") != "absent" && context.run_one() > 0) { }
    BOOST_TEST(stateOf("k1") == "absent");
}

BOOST_FIXTURE_TEST_SUITE(SeveralSends, Fixture)

/// Blocks calls in the service until `release` is notified, so that other requests can arrive meanwhile.
struct BlockedCall {
    explicit BlockedCall(Fixture& fixture)
        : fixture(fixture)
        , release(fixture.context)
    {
        fixture.services.beforeAnswer = [this]() -> boost::asio::awaitable<void> { co_await release.wait(1h); };
    }

    /// Completes the blocked calls, since they refer to this object.
    ~BlockedCall()
    {
        release.notify();
        poll();
    }
    BlockedCall(const BlockedCall&) = delete;
    BlockedCall& operator=(const BlockedCall&) = delete;

    static boost::asio::awaitable<void> sendTask(
        ServiceCallExecutor& executor, RequestContext context, std::optional<ServiceOutcome>& outcome)
    {
        outcome = co_await executor.execute(std::move(context), orderCall);
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
    AsyncCondition release;
    std::optional<ServiceOutcome> first;
    std::optional<ServiceOutcome> second;
};

// A resend that arrives before the first response must wait for the running call and not execute it again.
BOOST_AUTO_TEST_CASE(OnTheSameInstanceShareOneRun)
{
    BlockedCall blocked(*this);
    blocked.send(executorA, blocked.first);
    blocked.send(executorA, blocked.second);
    BOOST_TEST(!blocked.second.has_value());
    const auto conflict = run(executorA, serviceRequest("shop", "POST", "k1", "other"));
    checkRefusal(conflict, ProblemCode::KeyConflict, Verdict::NotRun, false);
    blocked.release.notify();
    blocked.poll();
    BOOST_REQUIRE(blocked.first.has_value());
    BOOST_REQUIRE(blocked.second.has_value());
    BOOST_TEST(!blocked.first->isReplay);
    BOOST_TEST(blocked.second->isReplay);
    BOOST_TEST(services.calls.size() == 1U);
}

// While the instance that wrote the row runs the call, another instance must wait for the outcome.
BOOST_AUTO_TEST_CASE(OnAnotherInstanceWaitForTheWriter)
{
    BlockedCall blocked(*this);
    blocked.send(executorA, blocked.first);
    options.writerPollInterval = 1ms;
    ServiceCallExecutor waiting(dependenciesOf("c", &peerOfB), options);
    blocked.send(waiting, blocked.second);
    BOOST_TEST(queries == 1);
    BOOST_TEST(!blocked.second.has_value());
    blocked.release.notify();
    context.restart();
    while (!blocked.second && context.run_one() > 0) { }
    BOOST_TEST(blocked.second->isReplay);
    BOOST_TEST(services.calls.size() == 1U);
}

// If the instance that wrote the row does not reply, another instance must not claim the row.
BOOST_AUTO_TEST_CASE(OfAnUnresponsiveWriterMayHaveRun)
{
    BlockedCall blocked(*this);
    blocked.send(executorA, blocked.first);
    arePeersReachable = false;
    checkRefusal(run(executorB, orderCall), ProblemCode::OutcomeUnknown, Verdict::MayHaveRun, true);
    services.executed["zagreb:k1"] = { .status = 200, .body = "executed" };
    BOOST_TEST(bodyOf(run(executorB, orderCall)) == "executed");
    BOOST_TEST(services.calls.size() == 1U);
}

// A call must continue and be recorded when its caller disconnects.
BOOST_AUTO_TEST_CASE(GoOnWhenTheCallerIsGone)
{
    BlockedCall blocked(*this);
    boost::asio::cancellation_signal caller;
    auto task = BlockedCall::sendTask(executorA, serviceCallContext(clock, 1h), blocked.first);
    boost::asio::co_spawn(
        context, std::move(task), boost::asio::bind_cancellation_slot(caller.slot(), boost::asio::detached));
    blocked.poll();
    caller.emit(boost::asio::cancellation_type::terminal);
    blocked.poll();
    BOOST_REQUIRE(services.calls.size() == 1U);
    blocked.release.notify();
    blocked.poll();
    BOOST_TEST(stateOf("k1") == "finished");
    BOOST_TEST(!blocked.first.has_value());
}

// An instance must not report on attempts of an earlier process with the same instance id.
BOOST_AUTO_TEST_CASE(QueriesOfAnEarlierIncarnationOrMalformedOnesAreUnknown)
{
    BlockedCall blocked(*this);
    blocked.send(executorA, blocked.first);
    const auto attempt = tables.find(journalRowId("zagreb", "k1"))->value.at("attempt");
    const auto ask
        = [&](nlohmann::json request) { return executorA.answerJournalQuery(request).at("state").get<std::string>(); };
    BOOST_TEST(ask({ { "attempt", attempt }, { "target_incarnation", 1U } }) == "running");
    BOOST_TEST(ask({ { "attempt", attempt }, { "target_incarnation", 2U } }) == "unknown");
    BOOST_TEST(ask({ { "attempt", attempt } }) == "unknown");
    BOOST_TEST(ask("text") == "unknown");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
