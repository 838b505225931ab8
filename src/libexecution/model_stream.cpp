#include "model_attempts.h"
#include "model_recovery.h"

#include <algorithm>
#include <glog/logging.h>
#include <vector>
#include <xxhash.h>

namespace bulrushstack::detail {

namespace {

using EventResult = Result<StreamEvent>;
using SourceResult = Result<std::unique_ptr<EngineStream>>;
using SourcePtr = std::shared_ptr<EngineStream>;

/// Formats a server-sent event; a line break in the data begins another data line.
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

/// Digests of the events that the caller has, to compare with those of a repetition.
class DeliveredEvents {
public:
    explicit DeliveredEvents(bool isRecording)
        : m_isRecording(isRecording)
    {
    }

    std::uint64_t count() const { return m_count; }

    void add(std::string_view data)
    {
        if (m_isRecording)
            m_digests.push_back(XXH3_128bits(data.data(), data.size()));
        ++m_count;
    }

    bool matches(std::uint64_t offset, std::string_view data) const
    {
        return offset < m_digests.size() && XXH128_isEqual(m_digests[offset], XXH3_128bits(data.data(), data.size()));
    }

private:
    bool m_isRecording;
    std::uint64_t m_count = 0;
    std::vector<XXH128_hash_t> m_digests;
};

/// How the relay of one connection ended.
enum class RelayEnd {
    Complete,
    Broken,
    CallerGone,
    Expired, ///< the deadline of the request has passed
    Mismatch, ///< a repetition differs from what was delivered
};

/// Passes one stream on to a caller over as many connections and attempts as it takes.
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
    boost::asio::awaitable<RelayEnd> relay();
    boost::asio::awaitable<RelayEnd> openSource();
    boost::asio::awaitable<RelayEnd> relayEvent();
    boost::asio::awaitable<RelayEnd> acceptEvent(StreamEvent event);
    boost::asio::awaitable<std::optional<Problem>> recover();
    bool prepareResume();
    boost::asio::awaitable<void> waitBeforeResume();
    template <typename T> boost::asio::awaitable<RelayEnd> watch(std::shared_ptr<Operation<T>> operation);
    boost::asio::awaitable<RelayEnd> checkCaller();
    boost::asio::awaitable<bool> write(std::string data);
    boost::asio::awaitable<ModelRequestReport> finish();
    boost::asio::awaitable<ModelRequestReport> fail(Problem problem);
    ModelRequestReport leave();

    SteadyTime nextCheck() const;
    Problem problem(std::string detail) const;

    AttemptSequence& m_sequence;
    ExecutorState& m_state;
    HttpExchange& m_exchange;
    DeliveredEvents m_delivered;
    SteadyTime m_lastWrite;
    AttemptPtr m_attempt;
    SourcePtr m_source;
    std::uint64_t m_position = 0; ///< next offset of the current attempt
    StreamStep m_step = StreamStep::Open;
    Failure m_failure;
    bool m_isResuming = false;
    bool m_hasProgress = false; ///< the current connection brought a new event
    bool m_isBegun = false;
    unsigned m_fruitlessResumes = 0;
};

SteadyTime StreamRelay::nextCheck() const
{
    const auto now = m_state.now();
    return std::min({ now + std::chrono::duration_cast<SteadyTime::duration>(m_state.options.callerCheckInterval),
        m_lastWrite + std::chrono::duration_cast<SteadyTime::duration>(m_state.options.keepAliveInterval),
        m_sequence.context().deadline });
}

Problem StreamRelay::problem(std::string detail) const
{
    return { .code = ProblemCode::UpstreamFailed,
        .detail = std::move(detail),
        .verdict = m_sequence.report().verdict,
        .retryAfter = std::chrono::seconds(1) };
}

/// Writes to the caller, after the response header if that was not sent yet. Returns false if the caller has gone.
boost::asio::awaitable<bool> StreamRelay::write(std::string data)
{
    if (!m_isBegun) {
        m_isBegun = true;
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

/// Checks the caller and the deadline; sends a comment if the caller has seen nothing for a while.
boost::asio::awaitable<RelayEnd> StreamRelay::checkCaller()
{
    if (m_exchange.isClientGone())
        co_return RelayEnd::CallerGone;
    if (m_sequence.isExpired())
        co_return RelayEnd::Expired;
    if (m_state.now() - m_lastWrite >= m_state.options.keepAliveInterval) {
        const bool isWritten = co_await write(": keep-alive\n\n");
        if (!isWritten)
            co_return RelayEnd::CallerGone;
    }
    co_return RelayEnd::Complete;
}

/// Waits for an operation. Returns Complete when it is done, or why the wait ended before.
template <typename T> boost::asio::awaitable<RelayEnd> StreamRelay::watch(std::shared_ptr<Operation<T>> operation)
{
    while (!operation->isDone()) {
        const auto end = co_await checkCaller();
        if (end != RelayEnd::Complete)
            co_return end;
        if (!operation->isDone())
            co_await m_sequence.alarm()->waitUntil(nextCheck());
    }
    co_return RelayEnd::Complete;
}

/// Opens a connection for the current attempt: its first one, or one that resumes behind the last event.
boost::asio::awaitable<RelayEnd> StreamRelay::openSource()
{
    m_hasProgress = false;
    m_step = m_isResuming ? StreamStep::Resume : StreamStep::Open;
    auto limits = m_sequence.limits(m_state.options.streamProgressTimeout);
    std::shared_ptr<Operation<SourceResult>> operation;
    if (m_isResuming) {
        limits.maxIdle = std::chrono::nanoseconds(0);
        const auto last = m_position == 0 ? std::nullopt : std::optional(m_position - 1);
        auto work
            = m_state.engines.resumeStream(m_attempt->address(), m_attempt->id, m_sequence.cacheSalt(), last, limits);
        operation = startOperation(m_state, m_sequence.alarm(), std::move(work), m_attempt);
    } else {
        auto request = m_sequence.engineRequest(*m_attempt);
        auto work = m_state.engines.openStream(m_attempt->address(), std::move(request), limits);
        operation = startOperation(m_state, m_sequence.alarm(), std::move(work), m_attempt);
    }
    const auto end = co_await watch(operation);
    if (end != RelayEnd::Complete) {
        // The cancel order that follows may overtake a request that is still being sent.
        operation->abandon([state = m_state.shared_from_this(), attempt = m_attempt, salt = m_sequence.cacheSalt()] {
            state->cancelAttempt(attempt->address(), attempt->id, salt);
        });
        co_return end;
    }
    auto result = operation->take();
    if (!result) {
        m_failure = result.error();
        co_return RelayEnd::Broken;
    }
    m_source = std::move(*result);
    m_step = StreamStep::Read;
    m_attempt->slot.noteConnection(true);
    co_return RelayEnd::Complete;
}

/// Checks an event of the engine and passes it on, unless the caller has it from an earlier attempt.
boost::asio::awaitable<RelayEnd> StreamRelay::acceptEvent(StreamEvent event)
{
    if (event.offset != m_position) {
        m_failure = { .code = Errc::Malformed, .verdict = Verdict::MayHaveRun, .detail = "unexpected offset" };
        co_return RelayEnd::Broken;
    }
    ++m_position;
    if (event.offset < m_delivered.count())
        co_return m_delivered.matches(event.offset, event.data) ? RelayEnd::Complete : RelayEnd::Mismatch;
    m_fruitlessResumes = 0;
    m_hasProgress = true;
    m_delivered.add(event.data);
    auto text = formatEvent(event.offset, event.data);
    const bool isWritten = co_await write(std::move(text));
    if (!m_sequence.report().firstToken)
        m_sequence.report().firstToken = m_state.now();
    co_return isWritten ? RelayEnd::Complete : RelayEnd::CallerGone;
}

/// Relays the next event; Complete means that the stream goes on or, without a source, that it has ended.
boost::asio::awaitable<RelayEnd> StreamRelay::relayEvent()
{
    auto operation = startOperation(m_state, m_sequence.alarm(), m_source->next(), m_source);
    auto end = co_await watch(operation);
    if (end != RelayEnd::Complete)
        co_return end;
    auto event = operation->take();
    if (!event) {
        m_failure = event.error();
        // Something was sent, whatever the protocol says about the connection.
        m_failure.verdict = Verdict::MayHaveRun;
        co_return RelayEnd::Broken;
    }
    if (!event->isEnd)
        co_return co_await acceptEvent(std::move(*event));
    m_source.reset();
    co_return m_position < m_delivered.count() ? RelayEnd::Mismatch : RelayEnd::Complete;
}

/// Relays one connection from its opening to its end.
boost::asio::awaitable<RelayEnd> StreamRelay::relay()
{
    auto end = co_await openSource();
    while (end == RelayEnd::Complete && m_source)
        end = co_await relayEvent();
    if (m_source)
        m_source->close();
    m_source.reset();
    co_return end;
}

/// Counts a resume. One that follows a connection without a new event is charged to the retry budget, so that resumes
/// do not multiply the load on engines that fail.
bool StreamRelay::prepareResume()
{
    if (!m_hasProgress && !m_state.retries.tryConsume())
        return false;
    m_sequence.noteVerdict(Verdict::MayHaveRun);
    m_isResuming = true;
    ++m_fruitlessResumes;
    ++m_sequence.report().resumes;
    return true;
}

/// Waits with backoff; the first resume goes out at once, since one broken connection says little.
boost::asio::awaitable<void> StreamRelay::waitBeforeResume()
{
    if (m_fruitlessResumes <= 1)
        co_return;
    const auto resumption = m_state.now() + m_state.backoff(m_fruitlessResumes - 2);
    while (m_state.now() < resumption && !m_sequence.isExpired())
        co_await m_sequence.alarm()->waitUntil(std::min(resumption, m_sequence.context().deadline));
}

/// Prepares the next connection after a failure, or returns the problem that ends the stream.
boost::asio::awaitable<std::optional<Problem>> StreamRelay::recover()
{
    BrokenStream stream;
    stream.step = m_step;
    stream.failure = m_failure;
    stream.fruitlessResumes = m_fruitlessResumes;
    stream.resumeLimit = m_state.options.resumeLimit;
    stream.delivered = m_delivered.count();
    stream.isDeterministic = m_sequence.request().isDeterministic;
    const auto recovery = chooseRecovery(stream);
    // The verdict of a failed resume says nothing about the attempt, which has started.
    if (m_isResuming)
        m_failure.verdict = Verdict::MayHaveRun;
    if (recovery == Recovery::Repeat || m_sequence.isExpired()) {
        m_isResuming = false;
        m_fruitlessResumes = 0;
        co_return co_await m_sequence.endFailed(std::move(m_attempt), m_failure);
    }
    if (recovery == Recovery::Resume && prepareResume()) {
        co_await waitBeforeResume();
        co_return std::nullopt;
    }
    m_sequence.abandon(*m_attempt);
    if (isRefusedAsInvalid(stream))
        co_return Problem { .code = ProblemCode::MalformedRequest,
            .detail = "the engine refused the request as invalid",
            .verdict = m_sequence.report().verdict };
    co_return problem("the stream broke after " + std::to_string(m_delivered.count())
        + " events and cannot be continued: " + m_failure.code.message());
}

boost::asio::awaitable<ModelRequestReport> StreamRelay::run()
{
    for (;;) {
        if (!m_isResuming) {
            auto next = m_sequence.begin();
            if (auto* refusal = std::get_if<Problem>(&next))
                co_return co_await fail(std::move(*refusal));
            m_attempt = std::move(std::get<AttemptPtr>(next));
            m_position = 0;
        }
        const auto end = co_await relay();
        if (end == RelayEnd::Complete)
            co_return co_await finish();
        if (end == RelayEnd::CallerGone)
            co_return leave();
        if (end == RelayEnd::Broken) {
            auto ending = co_await recover();
            if (ending)
                co_return co_await fail(std::move(*ending));
            continue;
        }
        m_sequence.abandon(*m_attempt);
        auto ending = end == RelayEnd::Expired ? m_sequence.deadlineExceeded()
                                               : problem("a repetition of the request gave another answer");
        co_return co_await fail(std::move(ending));
    }
}

boost::asio::awaitable<ModelRequestReport> StreamRelay::finish()
{
    auto& report = m_sequence.report();
    m_sequence.noteVerdict(Verdict::Ran);
    const bool isWritten = co_await write("data: [DONE]\n\n");
    if (isWritten) {
        const auto ec = co_await m_exchange.endStream();
        report.isCallerGone = static_cast<bool>(ec);
    } else {
        report.isCallerGone = true;
    }
    co_return report;
}

/// Ends the answer with a problem: as a response if nothing was sent, else as an error event without the end of the
/// HTTP message, so that the connection is closed.
boost::asio::awaitable<ModelRequestReport> StreamRelay::fail(Problem problem)
{
    if (!m_isBegun)
        co_return co_await respondWithProblem(m_sequence, m_exchange, std::move(problem));
    auto& report = m_sequence.report();
    report.problem = problem.code;
    auto text = "event: error\ndata: " + problemText(problem, m_sequence.context().requestId) + "\n\n";
    const bool isWritten = co_await write(std::move(text));
    report.isCallerGone = !isWritten;
    co_return report;
}

ModelRequestReport StreamRelay::leave()
{
    m_sequence.abandon(*m_attempt);
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
