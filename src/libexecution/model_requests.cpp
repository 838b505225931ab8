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
    return runWholeAnswer(m_state, std::move(context), std::move(request), exchange);
}

boost::asio::awaitable<void> ModelRequestExecutor::drain(SteadyTime deadline)
{
    auto state = m_state;
    while (state->background > 0 && state->now() < deadline)
        co_await state->drained->waitUntil(deadline);
}

namespace detail {

namespace {

using Answer = Result<HttpResponse>;

/// Returns whether the status tells the caller something about its own request and not about the engine.
bool isCallersError(unsigned status) { return status == 400 || status == 413 || status == 422; }

/// Turns an answer that another engine may answer better into a failure. The engine does not state whether the request
/// ran before such an answer.
Answer classify(Answer answer)
{
    if (!answer || answer->status / 100 == 2 || isCallersError(answer->status))
        return answer;
    return Failure { .code = Errc::Unavailable,
        .verdict = Verdict::MayHaveRun,
        .detail = "the engine answered with status " + std::to_string(answer->status) };
}

/// Returns the response to the caller: the body of the engine without the engine's headers.
HttpResponse toCallersResponse(HttpResponse answer, Verdict verdict, const std::string& requestId)
{
    HttpResponse out;
    out.status = answer.status;
    out.headers.set("Content-Type", answer.headers.find("Content-Type").value_or("application/json"));
    out.headers.set("Bulrush-Request-Id", requestId);
    out.headers.set("Bulrush-Verdict", std::string(toString(verdict)));
    out.body = std::move(answer.body);
    return out;
}

/// Follows an attempt on a connection of its own until the engine has finished it or does not know it.
boost::asio::awaitable<Result<void>> followAttempt(
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

/// Finds out that the answer of an attempt will not come, because its connection went silent: a whole answer shows no
/// progress, so the attempt is followed as a stream on a new connection.
class AnswerWatch {
public:
    AnswerWatch(AttemptSequence& sequence, AttemptPtr attempt)
        : m_sequence(sequence)
        , m_attempt(std::move(attempt))
        , m_begin(sequence.state().now() + sequence.state().options.answerWatchDelay)
    {
    }

    /// Returns whether the engine is done with the attempt, or does not have it, and the answer is overdue.
    bool isAnswerLost()
    {
        const auto now = m_sequence.state().now();
        if (m_lostAt)
            return now >= *m_lostAt;
        if (!m_operation && now >= m_begin)
            start();
        if (m_operation && m_operation->isDone())
            takeResult(now);
        return false;
    }

private:
    void start()
    {
        auto& state = m_sequence.state();
        auto limits = m_sequence.limits(state.options.streamProgressTimeout);
        limits.maxIdle = std::chrono::nanoseconds(0);
        m_operation = startOperation(state, m_sequence.alarm(),
            followAttempt(state.engines, m_attempt->address(), m_attempt->id, m_sequence.cacheSalt(), limits),
            m_attempt);
    }

    void takeResult(SteadyTime now)
    {
        const auto& options = m_sequence.state().options;
        const auto result = m_operation->take();
        m_operation.reset();
        const bool isOver = result || result.error().code == Errc::NotFound || result.error().code == Errc::Timeout
            || result.error().code == Errc::ConnectionClosed;
        if (isOver)
            m_lostAt = now + options.answerGrace;
        else
            m_begin = now + options.answerWatchDelay;
    }

    AttemptSequence& m_sequence;
    AttemptPtr m_attempt;
    SteadyTime m_begin;
    std::shared_ptr<Operation<Result<void>>> m_operation;
    std::optional<SteadyTime> m_lostAt;
};

/// Waits for the answer of one attempt. Returns no value if the caller has gone; then the attempt is cancelled.
boost::asio::awaitable<std::optional<Answer>> awaitAnswer(
    AttemptSequence& sequence, AttemptPtr attempt, HttpExchange& exchange)
{
    auto& state = sequence.state();
    auto request = sequence.engineRequest(*attempt);
    const auto limits = sequence.limits(state.options.answerProgressTimeout);
    auto operation = startOperation(
        state, sequence.alarm(), state.engines.complete(attempt->address(), std::move(request), limits), attempt);
    AnswerWatch watch(sequence, attempt);
    while (!operation->isDone()) {
        if (watch.isAnswerLost())
            co_return Answer(Failure { .code = Errc::ConnectionClosed,
                .verdict = Verdict::MayHaveRun,
                .detail = "the connection that the answer was expected on is silent" });
        if (exchange.isClientGone()) {
            sequence.abandon(*attempt);
            co_return std::nullopt;
        }
        if (sequence.isExpired())
            co_return Answer(
                Failure { .code = Errc::Timeout, .verdict = Verdict::MayHaveRun, .detail = "the deadline has passed" });
        const auto until = std::min(state.now() + state.options.callerCheckInterval, sequence.context().deadline);
        co_await sequence.alarm()->waitUntil(until);
    }
    co_return operation->take();
}

boost::asio::awaitable<ModelRequestReport> passOn(
    AttemptSequence& sequence, HttpExchange& exchange, HttpResponse answer)
{
    auto& report = sequence.report();
    sequence.noteVerdict(answer.status / 100 == 2 ? Verdict::Ran : Verdict::MayHaveRun);
    report.status = answer.status;
    report.firstToken = sequence.state().now();
    auto response = toCallersResponse(std::move(answer), report.verdict, sequence.context().requestId);
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

boost::asio::awaitable<ModelRequestReport> runWholeAnswer(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange)
{
    AttemptSequence sequence(std::move(state), std::move(context), std::move(request));
    for (;;) {
        auto next = sequence.begin();
        if (auto* problem = std::get_if<Problem>(&next))
            co_return co_await respondWithProblem(sequence, exchange, std::move(*problem));
        auto attempt = std::move(std::get<AttemptPtr>(next));
        auto answer = co_await awaitAnswer(sequence, attempt, exchange);
        if (!answer) {
            sequence.report().isCallerGone = true;
            co_return sequence.report();
        }
        if (*answer)
            attempt->slot.noteConnection(true);
        auto result = classify(std::move(*answer));
        if (result)
            co_return co_await passOn(sequence, exchange, std::move(*result));
        auto problem = co_await sequence.endFailed(std::move(attempt), result.error());
        if (problem)
            co_return co_await respondWithProblem(sequence, exchange, std::move(*problem));
    }
}

} // namespace detail

} // namespace bulrushstack
