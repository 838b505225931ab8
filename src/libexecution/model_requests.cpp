#include "bulrushstack/execution/model_requests.h"

#include "bulrushstack/kernel/ids.h"
#include "model_attempts.h"

#include <algorithm>
#include <cstdio>
#include <xxhash.h>

namespace bulrushstack {

using namespace detail;

std::string cacheSaltOf(std::string_view team) { return sha256Hex("bulrushstack cache salt\n" + std::string(team)); }

std::string affinityKeyOf(std::string_view cacheSalt, std::string_view promptPrefix)
{
    const auto text = std::string(cacheSalt) + std::string(promptPrefix);
    const auto digest = XXH3_128bits(text.data(), text.size());
    char out[33];
    std::snprintf(out, sizeof out, "%016llx%016llx", static_cast<unsigned long long>(digest.high64),
        static_cast<unsigned long long>(digest.low64));
    return out;
}

ModelRequestExecutor::ModelRequestExecutor(ModelRequestDependencies dependencies, ModelRequestOptions options)
    : m_state(std::make_shared<State>(std::move(dependencies), std::move(options)))
{
}

ModelRequestExecutor::~ModelRequestExecutor() = default;

boost::asio::awaitable<ModelRequestReport> ModelRequestExecutor::execute(
    RequestContext context, ModelRequest request, HttpExchange& exchange)
{
    if (request.isStream)
        return runStream(m_state, std::move(context), std::move(request), exchange);
    return runNonStreaming(m_state, std::move(context), std::move(request), exchange);
}

boost::asio::awaitable<void> ModelRequestExecutor::drain(SteadyTime deadline)
{
    auto state = m_state;
    while (state->backgroundOperations > 0 && state->now() < deadline)
        co_await state->idleTimer->waitUntil(deadline);
}

namespace detail {

namespace {

using ResponseResult = Result<HttpResponse>;

/// Returns whether the status reports an error in the caller's request and not a failure of the engine.
bool isRequestError(unsigned status) { return status == 400 || status == 413 || status == 422; }

/// Turns an error response that another engine might not give into a failure. Such a response does not say whether the
/// request ran, so the verdict is MayHaveRun.
ResponseResult classifyResponse(ResponseResult engineResponse)
{
    if (!engineResponse || engineResponse->status / 100 == 2 || isRequestError(engineResponse->status))
        return engineResponse;
    return Failure { .code = Errc::Unavailable,
        .verdict = Verdict::MayHaveRun,
        .detail = "the engine responded with status " + std::to_string(engineResponse->status) };
}

/// Returns the response to the caller: status, body and content type of the engine's response, without its other
/// headers.
HttpResponse toCallerResponse(HttpResponse engineResponse, Verdict verdict, const std::string& requestId)
{
    HttpResponse out;
    out.status = engineResponse.status;
    out.headers.set("Content-Type", engineResponse.headers.find("Content-Type").value_or("application/json"));
    out.headers.set("Bulrush-Request-Id", requestId);
    out.headers.set("Bulrush-Verdict", std::string(toString(verdict)));
    out.body = std::move(engineResponse.body);
    return out;
}

/// Reads the events of an attempt on a separate connection. Completes when the engine has finished the attempt, or with
/// a failure, such as Errc::NotFound if the engine does not know the attempt.
boost::asio::awaitable<Result<void>> waitForAttemptEnd(
    EngineClient& engines, Address engine, std::string attemptId, std::string cacheSalt, AttemptLimits limits)
{
    auto stream = co_await engines.resumeStream(
        std::move(engine), std::move(attemptId), std::move(cacheSalt), std::nullopt, limits);
    if (!stream)
        co_return stream.error();
    for (;;) {
        auto event = co_await (*stream)->next();
        if (!event)
            co_return event.error();
        if (event->isEnd)
            co_return Result<void>();
    }
}

/// Detects that the response of an attempt was lost because its connection is dead. A non-streaming response gives no
/// sign of progress, so the attempt is probed by resuming it as a stream on a new connection.
class LostResponseDetector {
public:
    LostResponseDetector(AttemptSequence& sequence, AttemptPtr attempt)
        : m_sequence(sequence)
        , m_attempt(std::move(attempt))
        , m_nextProbeTime(sequence.state().now() + sequence.state().options.responseProbeDelay)
    {
    }

    /// Returns whether the engine has finished the attempt, or does not know it, and the response has not arrived
    /// within the grace period after that. Must be called repeatedly while the response is pending.
    bool isResponseLost()
    {
        const auto now = m_sequence.state().now();
        if (m_responseDueTime)
            return now >= *m_responseDueTime;
        if (!m_probe && now >= m_nextProbeTime)
            startProbe();
        if (m_probe && m_probe->isDone())
            handleProbeResult(now);
        return false;
    }

private:
    void startProbe()
    {
        auto& state = m_sequence.state();
        auto limits = m_sequence.limits(state.options.streamProgressTimeout);
        limits.maxIdle = std::chrono::nanoseconds(0);
        m_probe = startDetachedOperation(state, m_sequence.timer(),
            waitForAttemptEnd(state.engines, m_attempt->address(), m_attempt->id, m_sequence.cacheSalt(), limits),
            m_attempt);
    }

    void handleProbeResult(SteadyTime now)
    {
        const auto& options = m_sequence.state().options;
        const auto result = m_probe->take();
        m_probe.reset();
        const bool isAttemptOver = result || result.error().code == Errc::NotFound
            || result.error().code == Errc::Timeout || result.error().code == Errc::ConnectionClosed;
        if (isAttemptOver)
            m_responseDueTime = now + options.lateResponseGrace;
        else
            m_nextProbeTime = now + options.responseProbeDelay;
    }

    AttemptSequence& m_sequence;
    AttemptPtr m_attempt;
    SteadyTime m_nextProbeTime;
    std::shared_ptr<DetachedOperation<Result<void>>> m_probe;
    std::optional<SteadyTime> m_responseDueTime;
};

/// Waits for the response of an attempt. If the caller disconnects, cancels the attempt and returns nothing.
boost::asio::awaitable<std::optional<ResponseResult>> awaitResponse(
    AttemptSequence& sequence, AttemptPtr attempt, HttpExchange& exchange)
{
    auto& state = sequence.state();
    auto request = sequence.engineRequest(*attempt);
    const auto limits = sequence.limits(state.options.responseProgressTimeout);
    auto operation = startDetachedOperation(
        state, sequence.timer(), state.engines.complete(attempt->address(), std::move(request), limits), attempt);
    LostResponseDetector detector(sequence, attempt);
    while (!operation->isDone()) {
        if (detector.isResponseLost())
            co_return ResponseResult(Failure { .code = Errc::ConnectionClosed,
                .verdict = Verdict::MayHaveRun,
                .detail = "no response arrived although the engine is done with the attempt" });
        if (exchange.isClientGone()) {
            sequence.abandonAttempt(*attempt);
            co_return std::nullopt;
        }
        if (sequence.isExpired())
            co_return ResponseResult(
                Failure { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "the deadline has passed" });
        const auto until = std::min(state.now() + state.options.disconnectCheckInterval, sequence.context().deadline);
        co_await sequence.timer()->waitUntil(until);
    }
    co_return operation->take();
}

/// Forwards the response of the engine to the caller.
boost::asio::awaitable<ModelRequestReport> forwardResponse(
    AttemptSequence& sequence, HttpExchange& exchange, HttpResponse engineResponse)
{
    auto& report = sequence.report();
    sequence.recordVerdict(engineResponse.status / 100 == 2 ? Verdict::Ran : Verdict::MayHaveRun);
    report.status = engineResponse.status;
    report.firstTokenTime = sequence.state().now();
    auto response = toCallerResponse(std::move(engineResponse), report.verdict, sequence.context().requestId);
    const auto ec = co_await exchange.respond(std::move(response));
    report.isCallerGone = static_cast<bool>(ec);
    co_return report;
}

} // namespace

boost::asio::awaitable<ModelRequestReport> respondWithProblem(
    AttemptSequence& sequence, HttpExchange& exchange, Problem problem)
{
    auto& report = sequence.report();
    report.status = statusOf(problem.code);
    report.problem = problem.code;
    auto response = problemResponse(problem, sequence.context().requestId);
    const auto ec = co_await exchange.respond(std::move(response));
    report.isCallerGone = static_cast<bool>(ec);
    co_return report;
}

boost::asio::awaitable<ModelRequestReport> runNonStreaming(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange)
{
    AttemptSequence sequence(std::move(state), std::move(context), std::move(request));
    for (;;) {
        auto next = sequence.startAttempt();
        if (auto* problem = std::get_if<Problem>(&next))
            co_return co_await respondWithProblem(sequence, exchange, std::move(*problem));
        auto attempt = std::move(std::get<AttemptPtr>(next));
        auto engineResponse = co_await awaitResponse(sequence, attempt, exchange);
        if (!engineResponse) {
            sequence.report().isCallerGone = true;
            co_return sequence.report();
        }
        if (*engineResponse)
            attempt->slot.recordConnectionResult(true);
        auto result = classifyResponse(std::move(*engineResponse));
        if (result)
            co_return co_await forwardResponse(sequence, exchange, std::move(*result));
        auto problem = co_await sequence.handleFailure(std::move(attempt), result.error());
        if (problem)
            co_return co_await respondWithProblem(sequence, exchange, std::move(*problem));
    }
}

} // namespace detail

} // namespace bulrushstack
