#include "bulrushstack/execution/service_calls.h"

#include "service_calls_core.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

// Time after the deadline for which a call may still report its outcome. The call ends at its deadline by itself, with
// a more precise verdict than the MayHaveRun that the caller would get without this grace period.
constexpr std::chrono::nanoseconds lateOutcomeGrace = std::chrono::milliseconds(250);

/// Completion handler of a call. If its coroutine threw an exception, sets an outcome and removes the call.
void handleCallException(JournaledCall& call, ServiceCallCore& core, std::exception_ptr exception)
{
    if (!exception)
        return;
    LOG(ERROR) << "event=call-failed request=" << call.context.requestId << " team=" << call.context.team->name;
    auto it = core.runningCalls.find(call.rowId.key);
    if (it != core.runningCalls.end() && it->second.get() == &call)
        core.runningCalls.erase(it);
    if (!call.outcome)
        call.outcome = problemOutcome(ProblemCode::InternalError, Verdict::MayHaveRun, "the call failed");
    call.outcomeChanged.notify();
}

/// Starts a non-idempotent call. It runs independently of the coroutines that wait for its outcome.
std::shared_ptr<JournaledCall> startCall(const ServiceCallCorePtr& core, RequestContext context, ServiceRequest request)
{
    auto call = std::make_shared<JournaledCall>(core->deps.context, std::move(context), std::move(request));
    core->runningCalls.insert_or_assign(call->rowId.key, call);
    asio::co_spawn(core->deps.context, runJournaled(core, call),
        [core, call](std::exception_ptr exception) { handleCallException(*call, *core, exception); });
    return call;
}

/// Waits for the outcome of a call. `isDuplicate` means that the call was started by another request with the same key.
asio::awaitable<ServiceOutcome> awaitCall(
    ServiceCallCorePtr core, std::shared_ptr<JournaledCall> call, SteadyTime deadline, bool isDuplicate)
{
    const auto grace = isDuplicate ? std::chrono::nanoseconds(0) : lateOutcomeGrace;
    while (!call->outcome) {
        const bool isNotified = co_await call->outcomeChanged.wait(deadline - core->deps.clock.now() + grace);
        if (!call->outcome && !isNotified)
            co_return problemOutcome(
                ProblemCode::DeadlineExceeded, Verdict::MayHaveRun, "the request is still running", shortRetryAfter);
    }
    auto out = *call->outcome;
    out.isReplay = out.isReplay || (isDuplicate && out.verdict == Verdict::Ran);
    co_return out;
}

asio::awaitable<ServiceOutcome> executeJournaled(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request)
{
    if (request.idempotencyKey.empty())
        co_return problemOutcome(
            ProblemCode::IdempotencyKeyRequired, Verdict::NotRun, "the header Idempotency-Key is missing");
    const auto deadline = context.deadline;
    auto it = core->runningCalls.find(journalRowId(context.team->name, request.idempotencyKey).key);
    if (it != core->runningCalls.end()) {
        auto call = it->second;
        if (call->digest != requestDigest(request))
            co_return problemOutcome(ProblemCode::KeyConflict, Verdict::NotRun, "another request runs with this key");
        co_return co_await awaitCall(core, call, deadline, true);
    }
    // Without a limit, outcomes that cannot be recorded would exhaust the memory while the table service is down.
    if (core->outstandingJournaled >= core->options.outstandingLimit)
        co_return problemOutcome(
            ProblemCode::Overloaded, Verdict::NotRun, "too many calls have no recorded outcome yet", shortRetryAfter);
    // While the table service does not respond, every call would have to wait for its timeout.
    if (core->deps.clock.now() < core->storeUnresponsiveUntil)
        co_return problemOutcome(
            ProblemCode::StoreUnavailable, Verdict::NotRun, "the table service does not respond", shortRetryAfter);
    auto call = startCall(core, std::move(context), std::move(request));
    co_return co_await awaitCall(core, call, deadline, false);
}

asio::awaitable<ServiceOutcome> executeIdempotent(
    ServiceCallCorePtr core, RequestContext context, ServiceRequest request)
{
    const OutstandingCallGuard outstanding(core);
    auto dispatchResult = co_await dispatch(core, std::move(context), std::move(request), true);
    co_return dispatchResult.outcome;
}

} // namespace

struct ServiceCallExecutor::State : ServiceCallCore {
    using ServiceCallCore::ServiceCallCore;
};

ServiceCallExecutor::ServiceCallExecutor(ServiceCallDependencies dependencies, ServiceCallOptions options)
    : m_state(std::make_shared<State>(std::move(dependencies), options))
{
    if (options.sweepInterval > std::chrono::nanoseconds(0))
        asio::co_spawn(m_state->deps.context, sweepJournal(m_state), asio::detached);
}

ServiceCallExecutor::~ServiceCallExecutor()
{
    m_state->isStopped = true;
    m_state->stopRequested.notify();
}

asio::awaitable<ServiceOutcome> ServiceCallExecutor::execute(RequestContext context, ServiceRequest request)
{
    const auto path = request.request.path();
    if (context.team->isIdempotent(request.service, request.request.method, path))
        return executeIdempotent(m_state, std::move(context), std::move(request));
    return executeJournaled(m_state, std::move(context), std::move(request));
}

nlohmann::json ServiceCallExecutor::answerJournalQuery(const nlohmann::json& request)
{
    auto state = AttemptState::Unknown;
    const auto attempt = request.is_object() ? request.find("attempt") : request.end();
    const auto incarnation = request.is_object() ? request.find("target_incarnation") : request.end();
    const bool isWellFormed = attempt != request.end() && attempt->is_string() && incarnation != request.end()
        && incarnation->is_number_unsigned();
    if (isWellFormed && incarnation->get<std::uint64_t>() == m_state->deps.identity.incarnation)
        state = m_state->attempts.query(attempt->get<std::string>());
    return { { "state", toString(state) } };
}

asio::awaitable<void> ServiceCallExecutor::drain(SteadyTime deadline)
{
    auto core = m_state;
    core->isDraining = true;
    // This also wakes the background work that waits for its next retry.
    core->stopRequested.notify();
    while (core->outstanding > 0) {
        const bool isNotified = co_await core->outstandingChanged.wait(deadline - core->deps.clock.now());
        if (!isNotified && core->outstanding > 0) {
            core->isStopped = true;
            core->stopRequested.notify();
            break;
        }
    }
}

} // namespace bulrushstack
