#include "model_attempts.h"

#include "bulrushstack/kernel/ids.h"

#include <algorithm>
#include <boost/asio/detached.hpp>
#include <glog/logging.h>

namespace bulrushstack {

ModelRequestExecutor::State::State(ModelRequestDependencies dependencies, ModelRequestOptions requestOptions)
    : context(dependencies.context)
    , clock(dependencies.clock)
    , engines(dependencies.engines)
    , selector(dependencies.selector)
    , retries(dependencies.retries)
    , timerFactory(std::move(dependencies.timerFactory))
    , options(std::move(requestOptions))
    , random(options.randomSeed)
    , idleTimer(timerFactory())
{
}

std::chrono::nanoseconds ModelRequestExecutor::State::backoff(unsigned attempt)
{
    static constexpr unsigned maxDoublings = 16;
    const auto fullDelay
        = std::min(options.backoffLimit, options.backoffBase * (1U << std::min(attempt, maxDoublings)));
    std::uniform_real_distribution<double> jitter(0.5, 1.0);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(fullDelay * jitter(random));
}

void ModelRequestExecutor::State::cancelAttempt(Address engine, std::string attemptId, std::string cacheSalt)
{
    beginBackgroundOperation();
    auto onDone = [self = shared_from_this()](std::exception_ptr, Result<void>) { self->endBackgroundOperation(); };
    const auto deadline = now() + options.cancelTimeout;
    boost::asio::co_spawn(context,
        engines.cancel(std::move(engine), std::move(attemptId), std::move(cacheSalt), deadline), std::move(onDone));
}

void ModelRequestExecutor::State::endBackgroundOperation()
{
    if (--backgroundOperations == 0)
        idleTimer->wake();
}

namespace detail {

AttemptSequence::AttemptSequence(std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request)
    : m_state(std::move(state))
    , m_context(std::move(context))
    , m_request(std::move(request))
    , m_cacheSalt(cacheSaltOf(m_context.team->name))
    , m_affinityKey(affinityKeyOf(m_cacheSalt, m_request.promptPrefix))
    , m_timer(m_state->timerFactory())
{
    m_state->retries.recordRequest();
}

std::variant<UpstreamSlot, NoRoute> AttemptSequence::selectUpstream()
{
    RouteRequest route;
    route.role = InstanceRole::Engine;
    route.model = m_request.model;
    route.zone = m_state->options.zone;
    route.affinityKey = m_affinityKey;
    route.urgency = m_context.urgency;
    route.excluded = m_excludedUpstreams;
    return m_state->selector.select(route);
}

std::variant<AttemptPtr, Problem> AttemptSequence::startAttempt()
{
    if (isExpired())
        return deadlineExceeded();
    auto selection = selectUpstream();
    // All engines with the model have been tried. There may be only one, which has just been restarted, so start over
    // with all of them, on new connections.
    if (std::holds_alternative<NoRoute>(selection) && !m_excludedUpstreams.empty()) {
        m_excludedUpstreams.clear();
        return createAttempt(selectUpstream());
    }
    return createAttempt(std::move(selection));
}

std::variant<AttemptPtr, Problem> AttemptSequence::createAttempt(std::variant<UpstreamSlot, NoRoute> selection)
{
    if (auto* reason = std::get_if<NoRoute>(&selection))
        return problemOf(*reason);
    ++m_report.attempts;
    return std::make_shared<Attempt>(std::move(std::get<UpstreamSlot>(selection)), randomId());
}

boost::asio::awaitable<std::optional<Problem>> AttemptSequence::handleFailure(AttemptPtr attempt, Failure failure)
{
    recordVerdict(failure.verdict);
    logFailure(*attempt, failure);
    if (failure.verdict != Verdict::NotRun)
        m_state->cancelAttempt(attempt->address(), attempt->id, m_cacheSalt);
    else if (failure.code != Errc::Refused && !isExpired())
        attempt->slot.recordConnectionResult(false);
    m_excludedUpstreams.insert(attempt->slot.route().upstreamId);
    attempt.reset();
    if (isExpired())
        co_return deadlineExceeded();
    if (m_report.attempts >= m_state->options.attemptLimit)
        co_return problemOf(failure, "the attempt limit is reached");
    const auto retryTime = m_state->now() + m_state->backoff(m_report.attempts - 1);
    if (retryTime >= m_context.deadline)
        co_return problemOf(failure, "the deadline leaves no time for another attempt");
    if (!m_state->retries.tryConsume())
        co_return problemOf(failure, "the retry budget is used up");
    while (m_state->now() < retryTime)
        co_await m_timer->waitUntil(retryTime);
    co_return std::nullopt;
}

void AttemptSequence::abandonAttempt(const Attempt& attempt)
{
    recordVerdict(Verdict::MayHaveRun);
    m_state->cancelAttempt(attempt.address(), attempt.id, m_cacheSalt);
}

Problem AttemptSequence::deadlineExceeded() const
{
    return { .code = ProblemCode::DeadlineExceeded,
        .detail = "the deadline passed after " + std::to_string(m_report.attempts) + " attempts",
        .verdict = m_report.verdict,
        .retryAfter = std::chrono::seconds(1) };
}

Problem AttemptSequence::problemOf(const NoRoute& reason) const
{
    const bool isFull = reason.reason == NoRouteReason::AllFull;
    return { .code = isFull ? ProblemCode::Overloaded : ProblemCode::NoUpstream,
        .detail = isFull ? "every engine with the model is at its concurrency limit" : "no live engine has the model",
        .verdict = m_report.verdict,
        .retryAfter = reason.retryAfter };
}

Problem AttemptSequence::problemOf(const Failure& failure, std::string_view reason) const
{
    const bool isRefusal = failure.code == Errc::Refused;
    return { .code = isRefusal ? ProblemCode::Overloaded : ProblemCode::UpstreamFailed,
        .detail = std::to_string(m_report.attempts) + " attempts failed, the last one with: " + failure.code.message()
            + "; " + std::string(reason),
        .verdict = m_report.verdict,
        .retryAfter = std::chrono::seconds(1) };
}

EngineRequest AttemptSequence::engineRequest(const Attempt& attempt) const
{
    EngineRequest out;
    out.attemptId = attempt.id;
    out.path = m_request.path;
    out.body = m_request.body;
    out.priority = static_cast<unsigned>(m_context.urgency);
    out.cacheSalt = m_cacheSalt;
    return out;
}

AttemptLimits AttemptSequence::limits(std::chrono::nanoseconds progressTimeout) const
{
    AttemptLimits out;
    out.deadline = m_context.deadline;
    out.progressTimeout = progressTimeout;
    // After a failed attempt, pooled connections may be broken as well, so later attempts open new ones.
    if (m_report.attempts > 1)
        out.maxIdle = std::chrono::nanoseconds(0);
    return out;
}

/// Logs the code of the failure without its detail, which may contain parts of a response.
void AttemptSequence::logFailure(const Attempt& attempt, const Failure& failure) const
{
    LOG(INFO) << "event=attempt-failed request=" << m_context.requestId << " team=" << m_context.team->name
              << " attempt=" << attempt.id << " upstream=" << attempt.slot.route().upstreamId
              << " verdict=" << toString(failure.verdict) << " error=\"" << failure.code.message() << "\"";
}

} // namespace detail

} // namespace bulrushstack
