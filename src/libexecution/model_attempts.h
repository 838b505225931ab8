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

    /// Returns a delay before the given attempt, with jitter so that retries of many requests do not coincide.
    std::chrono::nanoseconds backoff(unsigned attempt);

    /// Orders the engine in the background to stop the work on an attempt.
    void cancelAttempt(Address engine, std::string attemptId, std::string cacheSalt);

    void beginBackground() { ++background; }
    void endBackground();

    boost::asio::io_context& context;
    const Clock& clock;
    EngineClient& engines;
    UpstreamSelector& selector;
    RetryBudget& retries;
    AlarmFactory alarms;
    ModelRequestOptions options;
    std::mt19937_64 random;
    std::size_t background = 0; ///< operations in progress, abandoned ones included
    AlarmPtr drained;
};

namespace detail {

using ExecutorState = ModelRequestExecutor::State;

/// An operation on an engine that goes on when nobody waits for it any more.
template <typename T> class Operation {
public:
    bool isDone() const { return m_result.has_value(); }
    T take() { return std::move(*m_result); }

    /// Gives up waiting. The function is called if the operation succeeds later.
    void abandon(std::function<void()> onLateSuccess) { m_onLateSuccess = std::move(onLateSuccess); }

    void finish(T result)
    {
        if (m_onLateSuccess && result)
            m_onLateSuccess();
        m_result.emplace(std::move(result));
    }

private:
    std::optional<T> m_result;
    std::function<void()> m_onLateSuccess;
};

/// Starts an operation; the alarm wakes when it is done. `owned` is kept alive until then.
template <typename T>
std::shared_ptr<Operation<T>> startOperation(
    ExecutorState& state, AlarmPtr alarm, boost::asio::awaitable<T> work, std::shared_ptr<void> owned)
{
    auto operation = std::make_shared<Operation<T>>();
    state.beginBackground();
    auto finish = [operation, alarm = std::move(alarm), owned = std::move(owned), self = state.shared_from_this()](
                      std::exception_ptr error, T result) {
        if (error)
            result = Failure {
                .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "exception in an upstream protocol"
            };
        operation->finish(std::move(result));
        alarm->wake();
        self->endBackground();
    };
    boost::asio::co_spawn(state.context, std::move(work), std::move(finish));
    return operation;
}

/// One attempt: a place on an upstream under an id that the upstream echoes.
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

/// The attempts of one request, one after the other, within its deadline, attempt limit and the retry budget.
class AttemptSequence {
public:
    AttemptSequence(std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request);

    /// Chooses an upstream for the next attempt, or says why there is none.
    std::variant<AttemptPtr, Problem> begin();

    /// Notes that an attempt failed; cancels it if it may run. Waits before the next attempt, or returns the problem
    /// that ends the request.
    boost::asio::awaitable<std::optional<Problem>> endFailed(AttemptPtr attempt, Failure failure);

    /// Gives up an attempt that may be running.
    void abandon(const Attempt& attempt);

    /// Returns the problem for a request whose deadline has passed.
    Problem deadlineExceeded() const;

    void noteVerdict(Verdict verdict) { m_report.verdict = join(m_report.verdict, verdict); }
    EngineRequest engineRequest(const Attempt& attempt) const;
    AttemptLimits limits(std::chrono::nanoseconds progressTimeout) const;

    ExecutorState& state() { return *m_state; }
    const RequestContext& context() const { return m_context; }
    const ModelRequest& request() const { return m_request; }
    const std::string& cacheSalt() const { return m_cacheSalt; }
    ModelRequestReport& report() { return m_report; }
    const AlarmPtr& alarm() const { return m_alarm; }
    bool isExpired() const { return m_state->now() >= m_context.deadline; }

private:
    std::variant<UpstreamSlot, NoRoute> selectUpstream();
    std::variant<AttemptPtr, Problem> start(std::variant<UpstreamSlot, NoRoute> selection);
    Problem problemOf(const NoRoute& reason) const;
    Problem problemOf(const Failure& failure, std::string_view reason) const;
    void logFailure(const Attempt& attempt, const Failure& failure) const;

    std::shared_ptr<ExecutorState> m_state;
    RequestContext m_context;
    ModelRequest m_request;
    std::string m_cacheSalt;
    std::string m_affinityKey;
    std::set<std::string, std::less<>> m_excluded;
    ModelRequestReport m_report;
    AlarmPtr m_alarm;
};

/// Answers the caller with a problem document and returns the report.
boost::asio::awaitable<ModelRequestReport> respondWithProblem(
    AttemptSequence& sequence, HttpExchange& exchange, Problem problem);

boost::asio::awaitable<ModelRequestReport> runWholeAnswer(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange);
boost::asio::awaitable<ModelRequestReport> runStream(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange);

} // namespace detail

} // namespace bulrushstack
