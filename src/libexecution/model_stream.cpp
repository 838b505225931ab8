#include "model_attempts.h"
#include "model_recovery.h"

#include <algorithm>
#include <glog/logging.h>
#include <vector>
#include <xxhash.h>

namespace bulrushstack::detail {

namespace {

using EventResult = Result<StreamEvent>;
using EngineStreamResult = Result<std::unique_ptr<EngineStream>>;
using EngineStreamPtr = std::shared_ptr<EngineStream>;

/// Formats a server-sent event. Each line of the data becomes a separate "data:" line.
std::string formatEvent(std::uint64_t offset, std::string_view data)
{
    std::string out = "id: " + std::to_string(offset) + "\n";
    for (std::size_t begin = 0; begin <= data.size();) {
        const auto end = std::min(data.find('\n', begin), data.size());
        out.append("data: ").append(data.substr(begin, end - begin)).append("\n");
        begin = end + 1;
    }
    return out + "\n";
}

/// Counts the events that were sent to the caller and, for deterministic requests, keeps their digests. After a retry
/// the events of the new attempt are compared with them.
class DeliveredEvents {
public:
    explicit DeliveredEvents(bool keepsDigests)
        : m_keepsDigests(keepsDigests)
    {
    }

    std::uint64_t count() const { return m_count; }

    void add(std::string_view data)
    {
        if (m_keepsDigests)
            m_digests.push_back(XXH3_128bits(data.data(), data.size()));
        ++m_count;
    }

    /// Returns whether the event equals the one that was delivered at the offset.
    bool matches(std::uint64_t offset, std::string_view data) const
    {
        return offset < m_digests.size() && XXH128_isEqual(m_digests[offset], XXH3_128bits(data.data(), data.size()));
    }

private:
    bool m_keepsDigests;
    std::uint64_t m_count = 0;
    std::vector<XXH128_hash_t> m_digests;
};

/// Result of a step in relaying a stream.
enum class RelayStatus {
    Complete, ///< the step succeeded
    Broken, ///< the connection failed or the engine sent an invalid event
    CallerGone, ///< the caller has disconnected
    Expired, ///< the deadline of the request has passed
    Mismatch, ///< the events of a retry differ from those that were delivered
};

/// Relays one stream from engines to a caller, resuming or retrying it as often as needed and permitted.
class StreamRelay {
public:
    StreamRelay(AttemptSequence& sequence, HttpExchange& exchange)
        : m_sequence(sequence)
        , m_state(sequence.state())
        , m_exchange(exchange)
        , m_delivered(sequence.request().isDeterministic)
        , m_lastWrite(m_state.now())
    {
    }

    boost::asio::awaitable<ModelRequestReport> run();

private:
    boost::asio::awaitable<RelayStatus> relayConnection();
    boost::asio::awaitable<RelayStatus> openEngineStream();
    boost::asio::awaitable<RelayStatus> relayEvent();
    boost::asio::awaitable<RelayStatus> deliverEvent(StreamEvent event);
    boost::asio::awaitable<std::optional<Problem>> recover();
    bool prepareResume();
    boost::asio::awaitable<void> waitBeforeResume();
    template <typename T>
    boost::asio::awaitable<RelayStatus> awaitOperation(std::shared_ptr<DetachedOperation<T>> operation);
    boost::asio::awaitable<RelayStatus> checkCallerAndDeadline();
    boost::asio::awaitable<bool> write(std::string data);
    boost::asio::awaitable<ModelRequestReport> completeStream();
    boost::asio::awaitable<ModelRequestReport> failStream(Problem problem);
    ModelRequestReport handleCallerGone();

    SteadyTime nextCheckTime() const;
    Problem upstreamFailedProblem(std::string detail) const;

    AttemptSequence& m_sequence;
    ExecutorState& m_state;
    HttpExchange& m_exchange;
    DeliveredEvents m_delivered;
    SteadyTime m_lastWrite;
    AttemptPtr m_attempt;
    EngineStreamPtr m_engineStream;
    std::uint64_t m_nextOffset = 0; ///< offset of the next event of the current attempt
    StreamStep m_step = StreamStep::Open;
    Failure m_failure;
    bool m_isResuming = false; ///< the next connection resumes the current attempt
    bool m_hasProgress = false; ///< the current connection has delivered a new event
    bool m_isHeaderSent = false;
    unsigned m_resumesWithoutProgress = 0;
};

SteadyTime StreamRelay::nextCheckTime() const
{
    const auto now = m_state.now();
    return std::min({ now + std::chrono::duration_cast<SteadyTime::duration>(m_state.options.disconnectCheckInterval),
        m_lastWrite + std::chrono::duration_cast<SteadyTime::duration>(m_state.options.keepAliveInterval),
        m_sequence.context().deadline });
}

Problem StreamRelay::upstreamFailedProblem(std::string detail) const
{
    return { .code = ProblemCode::UpstreamFailed,
        .detail = std::move(detail),
        .verdict = m_sequence.report().verdict,
        .retryAfter = std::chrono::seconds(1) };
}

/// Writes data to the caller, preceded by the response header if it has not been sent. Returns false if the caller has
/// disconnected.
boost::asio::awaitable<bool> StreamRelay::write(std::string data)
{
    if (!m_isHeaderSent) {
        m_isHeaderSent = true;
        m_sequence.report().status = 200;
        HttpHeaders headers;
        headers.set("Content-Type", "text/event-stream");
        headers.set("Cache-Control", "no-cache");
        headers.set("Bulrush-Request-Id", m_sequence.context().requestId);
        const auto ec = co_await m_exchange.beginStream(200, std::move(headers));
        if (ec)
            co_return false;
    }
    const auto ec = co_await m_exchange.write(data);
    m_lastWrite = m_state.now();
    co_return !ec;
}

/// Returns CallerGone if the caller has disconnected, Expired after the deadline, and Complete otherwise. Sends an SSE
/// comment as keep-alive if nothing was written during `keepAliveInterval`.
boost::asio::awaitable<RelayStatus> StreamRelay::checkCallerAndDeadline()
{
    if (m_exchange.isClientGone())
        co_return RelayStatus::CallerGone;
    if (m_sequence.isExpired())
        co_return RelayStatus::Expired;
    if (m_state.now() - m_lastWrite >= m_state.options.keepAliveInterval) {
        const bool isWritten = co_await write(": keep-alive\n\n");
        if (!isWritten)
            co_return RelayStatus::CallerGone;
    }
    co_return RelayStatus::Complete;
}

/// Waits for an operation. Returns Complete when it is done, or CallerGone or Expired if the wait ended earlier.
template <typename T>
boost::asio::awaitable<RelayStatus> StreamRelay::awaitOperation(std::shared_ptr<DetachedOperation<T>> operation)
{
    while (!operation->isDone()) {
        const auto end = co_await checkCallerAndDeadline();
        if (end != RelayStatus::Complete)
            co_return end;
        if (!operation->isDone())
            co_await m_sequence.timer()->waitUntil(nextCheckTime());
    }
    co_return RelayStatus::Complete;
}

/// Opens a stream for the current attempt: the first one, or one that resumes after the last received event.
boost::asio::awaitable<RelayStatus> StreamRelay::openEngineStream()
{
    m_hasProgress = false;
    m_step = m_isResuming ? StreamStep::Resume : StreamStep::Open;
    auto limits = m_sequence.limits(m_state.options.streamProgressTimeout);
    std::shared_ptr<DetachedOperation<EngineStreamResult>> operation;
    if (m_isResuming) {
        limits.maxIdle = std::chrono::nanoseconds(0);
        const auto last = m_nextOffset == 0 ? std::nullopt : std::optional(m_nextOffset - 1);
        auto work
            = m_state.engines.resumeStream(m_attempt->address(), m_attempt->id, m_sequence.cacheSalt(), last, limits);
        operation = startDetachedOperation(m_state, m_sequence.timer(), std::move(work), m_attempt);
    } else {
        auto request = m_sequence.engineRequest(*m_attempt);
        auto work = m_state.engines.openStream(m_attempt->address(), std::move(request), limits);
        operation = startDetachedOperation(m_state, m_sequence.timer(), std::move(work), m_attempt);
    }
    const auto end = co_await awaitOperation(operation);
    if (end != RelayStatus::Complete) {
        // The caller of this function cancels the attempt, but the cancellation may reach the engine before the request
        // does. Cancel again if the stream is opened after all.
        operation->abandon(
            [state = m_state.shared_from_this(), attempt = m_attempt, cacheSalt = m_sequence.cacheSalt()] {
                state->cancelAttempt(attempt->address(), attempt->id, cacheSalt);
            });
        co_return end;
    }
    auto result = operation->take();
    if (!result) {
        m_failure = result.error();
        co_return RelayStatus::Broken;
    }
    m_engineStream = std::move(*result);
    m_step = StreamStep::Read;
    m_attempt->slot.recordConnectionResult(true);
    co_return RelayStatus::Complete;
}

/// Validates an event and sends it to the caller. An event that was already delivered by an earlier attempt is compared
/// with the delivered one instead.
boost::asio::awaitable<RelayStatus> StreamRelay::deliverEvent(StreamEvent event)
{
    if (event.offset != m_nextOffset) {
        m_failure = { .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "unexpected offset" };
        co_return RelayStatus::Broken;
    }
    ++m_nextOffset;
    if (event.offset < m_delivered.count())
        co_return m_delivered.matches(event.offset, event.data) ? RelayStatus::Complete : RelayStatus::Mismatch;
    m_resumesWithoutProgress = 0;
    m_hasProgress = true;
    m_delivered.add(event.data);
    auto text = formatEvent(event.offset, event.data);
    const bool isWritten = co_await write(std::move(text));
    if (!m_sequence.report().firstTokenTime)
        m_sequence.report().firstTokenTime = m_state.now();
    co_return isWritten ? RelayStatus::Complete : RelayStatus::CallerGone;
}

/// Relays the next event. If Complete is returned, the stream has ended if m_engineStream is null and continues if not.
boost::asio::awaitable<RelayStatus> StreamRelay::relayEvent()
{
    auto operation = startDetachedOperation(m_state, m_sequence.timer(), m_engineStream->next(), m_engineStream);
    auto end = co_await awaitOperation(operation);
    if (end != RelayStatus::Complete)
        co_return end;
    auto event = operation->take();
    if (!event) {
        m_failure = event.error();
        // The request has been sent, so the attempt may have run, whatever verdict the failure of the read has.
        m_failure.verdict = Verdict::MayHaveRun;
        co_return RelayStatus::Broken;
    }
    if (!event->isEnd)
        co_return co_await deliverEvent(std::move(*event));
    m_engineStream.reset();
    co_return m_nextOffset < m_delivered.count() ? RelayStatus::Mismatch : RelayStatus::Complete;
}

/// Opens a stream for the current attempt and relays it until it ends or fails.
boost::asio::awaitable<RelayStatus> StreamRelay::relayConnection()
{
    auto end = co_await openEngineStream();
    while (end == RelayStatus::Complete && m_engineStream)
        end = co_await relayEvent();
    if (m_engineStream)
        m_engineStream->close();
    m_engineStream.reset();
    co_return end;
}

/// Prepares to resume the current attempt. After a connection without a new event, the resume is charged to the retry
/// budget, so that resumes do not multiply the load on failing engines; returns false if the budget is used up.
bool StreamRelay::prepareResume()
{
    if (!m_hasProgress && !m_state.retries.tryConsume())
        return false;
    m_sequence.recordVerdict(Verdict::MayHaveRun);
    m_isResuming = true;
    ++m_resumesWithoutProgress;
    ++m_sequence.report().resumes;
    return true;
}

/// Waits for the backoff delay. The first resume is sent without delay, since a single broken connection does not mean
/// that the engine is failing.
boost::asio::awaitable<void> StreamRelay::waitBeforeResume()
{
    if (m_resumesWithoutProgress <= 1)
        co_return;
    const auto resumeTime = m_state.now() + m_state.backoff(m_resumesWithoutProgress - 2);
    while (m_state.now() < resumeTime && !m_sequence.isExpired())
        co_await m_sequence.timer()->waitUntil(std::min(resumeTime, m_sequence.context().deadline));
}

/// Prepares the next connection after a failure; waits for the backoff delay. Returns the problem that ends the stream
/// if it cannot be continued.
boost::asio::awaitable<std::optional<Problem>> StreamRelay::recover()
{
    BrokenStream stream;
    stream.step = m_step;
    stream.failure = m_failure;
    stream.resumesWithoutProgress = m_resumesWithoutProgress;
    stream.resumeLimit = m_state.options.resumeLimit;
    stream.deliveredCount = m_delivered.count();
    stream.isDeterministic = m_sequence.request().isDeterministic;
    const auto recovery = chooseRecovery(stream);
    // A failed resume may have the verdict NotRun, but the attempt that it was to resume has already been sent.
    if (m_isResuming)
        m_failure.verdict = Verdict::MayHaveRun;
    if (recovery == Recovery::Retry || m_sequence.isExpired()) {
        m_isResuming = false;
        m_resumesWithoutProgress = 0;
        co_return co_await m_sequence.handleFailure(std::move(m_attempt), m_failure);
    }
    if (recovery == Recovery::Resume && prepareResume()) {
        co_await waitBeforeResume();
        co_return std::nullopt;
    }
    m_sequence.abandonAttempt(*m_attempt);
    if (isRejectedAsInvalid(stream))
        co_return Problem { .code = ProblemCode::MalformedRequest,
            .detail = "the engine refused the request as invalid",
            .verdict = m_sequence.report().verdict };
    co_return upstreamFailedProblem("the stream broke after " + std::to_string(m_delivered.count())
        + " events and cannot be continued: " + m_failure.code.message());
}

boost::asio::awaitable<ModelRequestReport> StreamRelay::run()
{
    for (;;) {
        if (!m_isResuming) {
            auto next = m_sequence.startAttempt();
            if (auto* refusal = std::get_if<Problem>(&next))
                co_return co_await failStream(std::move(*refusal));
            m_attempt = std::move(std::get<AttemptPtr>(next));
            m_nextOffset = 0;
        }
        const auto end = co_await relayConnection();
        if (end == RelayStatus::Complete)
            co_return co_await completeStream();
        if (end == RelayStatus::CallerGone)
            co_return handleCallerGone();
        if (end == RelayStatus::Broken) {
            auto finalProblem = co_await recover();
            if (finalProblem)
                co_return co_await failStream(std::move(*finalProblem));
            continue;
        }
        m_sequence.abandonAttempt(*m_attempt);
        auto finalProblem = end == RelayStatus::Expired
            ? m_sequence.deadlineExceeded()
            : upstreamFailedProblem("a retry of the request produced a different response");
        co_return co_await failStream(std::move(finalProblem));
    }
}

/// Ends the stream successfully with the event "[DONE]".
boost::asio::awaitable<ModelRequestReport> StreamRelay::completeStream()
{
    auto& report = m_sequence.report();
    m_sequence.recordVerdict(Verdict::Ran);
    const bool isWritten = co_await write("data: [DONE]\n\n");
    if (isWritten) {
        const auto ec = co_await m_exchange.endStream();
        report.isCallerGone = static_cast<bool>(ec);
    } else {
        report.isCallerGone = true;
    }
    co_return report;
}

/// Ends the response with a problem. If nothing was sent, the caller gets a problem document. Otherwise it gets an
/// error event, and the HTTP message stays incomplete, so that the connection is closed.
boost::asio::awaitable<ModelRequestReport> StreamRelay::failStream(Problem problem)
{
    if (!m_isHeaderSent)
        co_return co_await respondWithProblem(m_sequence, m_exchange, std::move(problem));
    auto& report = m_sequence.report();
    report.problem = problem.code;
    auto text = "event: error\ndata: " + problemJson(problem, m_sequence.context().requestId) + "\n\n";
    const bool isWritten = co_await write(std::move(text));
    report.isCallerGone = !isWritten;
    co_return report;
}

ModelRequestReport StreamRelay::handleCallerGone()
{
    m_sequence.abandonAttempt(*m_attempt);
    m_sequence.report().isCallerGone = true;
    return m_sequence.report();
}

} // namespace

boost::asio::awaitable<ModelRequestReport> runStream(
    std::shared_ptr<ExecutorState> state, RequestContext context, ModelRequest request, HttpExchange& exchange)
{
    AttemptSequence sequence(std::move(state), std::move(context), std::move(request));
    StreamRelay relay(sequence, exchange);
    co_return co_await relay.run();
}

} // namespace bulrushstack::detail
