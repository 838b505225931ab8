#pragma once

#include "bulrushstack/execution/model_requests.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>
#include <functional>
#include <random>
#include <set>
#include <utility>
#include <variant>

namespace bulrushstack {

struct ModelRequestExecutor::State : std::enable_shared_from_this<ModelRequestExecutor::State> {
    State(ModelRequestDependencies dependencies, ModelRequestOptions requestOptions);

    SteadyTime now() const { return clock.now(); }

    /// Returns the backoff delay before the retry with the given number, counted from 0. It has jitter, so that the
    /// retries of many requests do not coincide.
    std::chrono::nanoseconds backoff(unsigned attempt);

    /// Sends the engine a request to cancel an attempt, in the background and without waiting for the result.
    void cancelAttempt(Address engine, std::string attemptId, std::string cacheSalt);

    void beginBackgroundOperation() { ++backgroundOperations; }
    void endBackgroundOperation();

    boost::asio::io_context& context;
    const Clock& clock;
    EngineClient& engines;
    UpstreamSelector& selector;
    RetryBudget& retries;
    TimerFactory timerFactory;
    ModelRequestOptions options;
    std::mt19937_64 random;
    std::size_t backgroundOperations = 0; ///< operations in progress, including abandoned ones
    WakeableTimerPtr idleTimer; ///< woken when `backgroundOperations` becomes 0
};

namespace detail {

using ExecutorState = ModelRequestExecutor::State;

/// An operation on an engine that continues even if its result is no longer needed.
template <typename T> class DetachedOperation {
public:
    bool isDone() const { return m_result.has_value(); }
    T take() { return std::move(*m_result); }

    /// Stops waiting for the result. If the operation succeeds later, `onLateSuccess` is called.
    void abandon(std::function<void()> onLateSuccess) { m_onLateSuccess = std::move(onLateSuccess); }

    void complete(T result)
    {
        if (m_onLateSuccess && result)
            m_onLateSuccess();
        m_result.emplace(std::move(result));
    }

private:
    std::optional<T> m_result;
    std::function<void()> m_onLateSuccess;
};

/// Starts an operation in the background. When it is done, `timer` is woken; `keepAlive` is not destroyed before then.
template <typename T>
std::shared_ptr<DetachedOperation<T>> startDetachedOperation(
    ExecutorState& state, WakeableTimerPtr timer, boost::asio::awaitable<T> work, std::shared_ptr<void> keepAlive)
{
    auto operation = std::make_shared<DetachedOperation<T>>();
    state.beginBackgroundOperation();
    auto onDone = [operation, timer = std::move(timer), keepAlive = std::move(keepAlive),
                      self = state.shared_from_this()](std::exception_ptr error, T result) {
        if (error)
            result = Failure {
                .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "exception in an upstream protocol"
            };
        operation->complete(std::move(result));
        timer->wake();
        self->endBackgroundOperation();
    };
    boost::asio::co_spawn(state.context, std::move(work), std::move(onDone));
    return operation;
}

/// One attempt of a request on an upstream, with a random id that the upstream echoes.
struct Attempt {
    Attempt(UpstreamSlot upstream, std::string attemptId)
        : slot(std::move(upstream))
        , id(std::move(attemptId))
    {
    }

    const Address& address() const { return slot.route().address; }

    UpstreamSlot slot;
    std::string id;
};

using AttemptPtr = std::shared_ptr<Attempt>;

/// Makes the attempts of one request, one after the other, within its deadline, the attempt limit and the retry budget.
class AttemptSequence {
public:
    AttemptSequence(std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request);

    /// Chooses an upstream for the next attempt, or returns the problem if there is none or the deadline has passed.
    std::variant<AttemptPtr, Problem> startAttempt();

    /// Handles the failure of an attempt; cancels it if it may be running on the engine. Waits for the backoff delay
    /// and returns nothing if the request may be retried, or else returns the problem that ends the request.
    boost::asio::awaitable<std::optional<Problem>> handleFailure(AttemptPtr attempt, Failure failure);

    /// Cancels an attempt that may be running on the engine. The verdict of the request becomes at least MayHaveRun.
    void abandonAttempt(const Attempt& attempt);

    /// Returns the problem "deadline-exceeded" with the verdict of the attempts made.
    Problem deadlineExceeded() const;

    /// Joins the verdict of an attempt into the verdict of the request.
    void recordVerdict(Verdict verdict) { m_report.verdict = join(m_report.verdict, verdict); }
    EngineRequest engineRequest(const Attempt& attempt) const;
    AttemptLimits limits(std::chrono::nanoseconds progressTimeout) const;

    ExecutorState& state() { return *m_state; }
    const RequestContext& context() const { return m_context; }
    const ModelRequest& request() const { return m_request; }
    const std::string& cacheSalt() const { return m_cacheSalt; }
    ModelRequestReport& report() { return m_report; }
    const WakeableTimerPtr& timer() const { return m_timer; }
    bool isExpired() const { return m_state->now() >= m_context.deadline; }

private:
    std::variant<UpstreamSlot, NoRoute> selectUpstream();
    std::variant<AttemptPtr, Problem> createAttempt(std::variant<UpstreamSlot, NoRoute> selection);
    Problem problemOf(const NoRoute& reason) const;
    Problem problemOf(const Failure& failure, std::string_view reason) const;
    void logFailure(const Attempt& attempt, const Failure& failure) const;

    std::shared_ptr<ExecutorState> m_state;
    RequestContext m_context;
    ModelRequest m_request;
    std::string m_cacheSalt;
    std::string m_affinityKey;
    std::set<std::string, std::less<>> m_excludedUpstreams;
    ModelRequestReport m_report;
    WakeableTimerPtr m_timer;
};

/// Sends the caller a problem document and returns the report of the request.
boost::asio::awaitable<ModelRequestReport> respondWithProblem(
    AttemptSequence& sequence, HttpExchange& exchange, Problem problem);

/// Runs a request whose response is sent as a whole.
boost::asio::awaitable<ModelRequestReport> runNonStreaming(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange);

/// Runs a request whose response is a stream of server-sent events.
boost::asio::awaitable<ModelRequestReport> runStream(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange);

} // namespace detail

} // namespace bulrushstack
