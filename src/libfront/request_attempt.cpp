#include "request_run.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

// One attempt of a request at one upstream: send it, judge the head of the answer, relay the answer, and note how the
// upstream did.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;

/// How long an upstream's own answer at the deadline is waited for.
constexpr Milliseconds answerMargin { 80 };

/// What the way to the upstream takes from the time left, so that it stops before the caller does.
constexpr Milliseconds wayMargin { 3 };

constexpr Milliseconds connectTimeout { 250 };
constexpr Milliseconds silenceTimeout { 2000 };
constexpr std::chrono::seconds idleLimit { 20 };

/// A request that may run only once is lost if the upstream closes the connection as it arrives.
constexpr std::chrono::seconds idleLimitForSingleRun { 2 };

constexpr Milliseconds crashProbeTimeout { 200 };
constexpr unsigned staleAnswerLimit = 3;
constexpr std::size_t eventLimit = 1024 * 1024; ///< bytes of one event of a stream

Failure unusableAnswer(std::string detail)
{
    return { .code = Errc::MismatchedResponse, .verdict = Verdict::MayHaveRun, .detail = std::move(detail) };
}

/// Returns whether the status promises that the request has not run.
bool isPromise(unsigned status) { return status == 408 || status == 421 || status == 429 || status == 503; }

} // namespace

SteadyTime RequestRun::attemptDeadline() const
{
    const auto last = m_deadline + answerMargin;
    if (m_route->kind != CallKind::Idempotent || m_upstreamsRun + 1 >= m_route->attemptLimit)
        return last;
    // A lost answer is told from a slow one only by time; a later attempt still serves the caller.
    return std::min(last, m_state.clock().now() + m_route->latencyObjective);
}

asio::awaitable<std::optional<Failure>> RequestRun::attempt(const RatedUpstream& chosen)
{
    Attempt attempt { .id = chosen.upstream->id,
        .startedAt = chosen.upstream->startedAt,
        .address = chosen.upstream->address,
        .sent = { .sent = m_state.clock().now(),
            .urgency = urgency(),
            .prefillTokens = m_service->engine ? chosen.prefillTokens : 0,
            .readTime = duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double, std::milli>(m_service->engine ? chosen.readMs : 0)) } };
    m_lastUpstream = attempt.id;
    m_state.loads().begin(attempt.id, attempt.sent);
    auto failure = co_await open(attempt);
    if (!failure)
        failure = co_await judgeHead(attempt);
    if (!failure && !m_isDone) {
        const bool isStream = m_services.format.isEventStream(attempt.stream->headers());
        if (isStream && attempt.stream->status() / 100 == 2)
            failure = co_await relayEvents(attempt);
        else
            failure = co_await relayWhole(attempt);
    }
    finishAttempt(attempt, failure);
    co_return failure;
}

asio::awaitable<std::optional<Failure>> RequestRun::open(Attempt& attempt)
{
    Dispatch dispatch {
        .upstreamId = attempt.id, .timeLeft = std::max(Milliseconds(1), timeLeft() - wayMargin), .urgency = urgency()
    };
    if (m_isStreaming)
        dispatch.resumeAfter = m_events.lastId();
    HttpCallOptions options;
    options.deadline = attemptDeadline();
    options.maxIdle = m_route->isRepeatable() ? idleLimit : idleLimitForSingleRun;
    options.connectTimeout = connectTimeout;
    options.tcpKeepAliveTimeout = silenceTimeout;
    options.isCloseDelimitedBodyAccepted = true;
    options.bodyLimit = m_configuration->limits().bodyBytes;
    options.cancellation = m_cancellation;
    auto stream = co_await m_services.client.open(
        attempt.address, m_services.format.encode(m_exchange.request(), dispatch), options);
    if (!stream) {
        attempt.wasSent = stream.error().verdict != Verdict::NotRun;
        co_return stream.error();
    }
    attempt.wasSent = true;
    attempt.stream = std::move(*stream);
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> RequestRun::judgeHead(Attempt& attempt)
{
    auto& stream = *attempt.stream;
    attempt.head = m_services.format.decodeHead(stream.status(), stream.headers());
    noteStatements(attempt);
    for (unsigned i = 0; !attempt.head.requestId.empty() && attempt.head.requestId != m_request.id; ++i) {
        LOG(WARNING) << "event=stray-answer request=" << m_request.id << " upstream=" << attempt.id
                     << " answer_for=" << attempt.head.requestId << " status=" << stream.status();
        if (i >= staleAnswerLimit)
            co_return unusableAnswer("the answer belongs to another request");
        auto next = co_await stream.nextResponse();
        if (!next)
            co_return next.error();
        attempt.head = m_services.format.decodeHead(stream.status(), stream.headers());
    }
    const auto& head = attempt.head;
    const unsigned status = stream.status();
    if (head.isNotExecuted || head.isMisdirected) {
        if (head.isMisdirected)
            m_state.hints().noteAbsent(attempt.id, m_request.model, m_request.adapter);
        if (head.isMisdirected && !m_request.adapter.empty())
            m_adapterRefusedBy = attempt.id;
        auto body = co_await stream.readAll(); // an unreadable rest only costs the connection
        co_return Failure { .code = Errc::Refused,
            .verdict = Verdict::NotRun,
            .detail = "the upstream did not run the request, status " + std::to_string(status)
                + (body ? "" : ", body unreadable") };
    }
    if (head.isTransformed)
        co_return unusableAnswer("the answer is encoded");
    if (!head.isGenuine && (status / 100 == 2 || head.requestId.empty()))
        co_return unusableAnswer("the answer bears no mark of the upstream, status " + std::to_string(status));
    if (isPromise(status))
        co_return unusableAnswer("the upstream answered " + std::to_string(status) + " without a statement");
    co_return std::nullopt;
}

/// An upstream that ended meanwhile may have left its address to another one, whose answers do not speak for it.
void RequestRun::noteStatements(const Attempt& attempt)
{
    if (attempt.head.isMisdirected)
        return;
    if (attempt.head.isLeaving)
        m_state.noteLeaving(attempt.id, attempt.startedAt, "request");
    auto& directory = m_state.directory();
    if (attempt.head.pause && directory.notePause(attempt.id, attempt.startedAt, *attempt.head.pause))
        LOG(INFO) << "event=upstream-pause upstream=" << attempt.id << " source=request request=" << m_request.id
                  << " pause_ms=" << attempt.head.pause->count() << " directory=" << directory.version();
}

void RequestRun::noteFirstAnswer(Attempt& attempt)
{
    if (attempt.hadFirstAnswer)
        return;
    attempt.hadFirstAnswer = true;
    const auto now = m_state.clock().now();
    if (!m_firstAnswerAfter)
        m_firstAnswerAfter = millisecondsOf(now - m_received);
    m_state.loads().noteFirstAnswer(attempt.id, attempt.sent, attempt.head.load);
    if (!m_service->engine)
        return;
    m_state.loads().notePrefix(attempt.id, prefixKey(m_request));
    m_state.noteFirstEvent(m_request.model, attempt.sent.prefillTokens, now - attempt.sent.sent);
    m_services.metrics.noteFirstEvent(now - m_received);
}

asio::awaitable<std::optional<Failure>> RequestRun::relayWhole(Attempt& attempt)
{
    auto body = co_await attempt.stream->readAll();
    if (!body)
        co_return body.error();
    HttpResponse response;
    response.status = attempt.stream->status();
    response.headers = m_services.format.answerFields(attempt.stream->headers());
    response.body = std::move(*body);
    noteFirstAnswer(attempt);
    if (m_isStreaming)
        co_return unusableAnswer("the stream could not be continued, status " + std::to_string(response.status));
    if (response.status / 100 == 5 && m_route->isRepeatable()) {
        const unsigned status = response.status;
        m_failedAnswer = std::move(response);
        co_return Failure { .code = Errc::MismatchedResponse,
            .verdict = Verdict::Ran,
            .detail = "the upstream answered " + std::to_string(status) };
    }
    co_return co_await deliver(std::move(response));
}

asio::awaitable<std::optional<Failure>> RequestRun::deliver(HttpResponse response)
{
    const unsigned status = response.status;
    if (status / 100 == 2)
        m_state.suspects().noteServed(m_digest);
    m_isDone = true;
    m_verdict = Verdict::Ran;
    const auto ec = co_await m_exchange.respond(std::move(response));
    logEnd(ec ? "undelivered" : (status / 100 == 2 ? "served" : "upstream-error"), status, ec ? ec.message() : "");
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> RequestRun::relayEvents(Attempt& attempt)
{
    for (;;) {
        auto part = co_await attempt.stream->read();
        if (!part) {
            m_events.dropPartialEvent();
            co_return part.error();
        }
        std::string events = *part ? m_events.take(**part) : m_events.takeRest();
        if (m_events.pendingBytes() > eventLimit) {
            m_events.dropPartialEvent();
            co_return unusableAnswer("an event exceeds " + std::to_string(eventLimit) + " bytes");
        }
        if (!events.empty() || !*part) {
            noteFirstAnswer(attempt);
            if (!m_isStreaming) {
                m_isStreaming = true;
                const auto fields = m_services.format.answerFields(attempt.stream->headers());
                const auto ec = co_await m_exchange.beginStream(attempt.stream->status(), fields);
                m_isClientGone = m_isClientGone || ec;
            }
        }
        if (!events.empty() && !m_isClientGone) {
            const auto ec = co_await m_exchange.write(events);
            m_isClientGone = m_isClientGone || ec;
        }
        if (m_isClientGone)
            co_return Failure {
                .code = Errc::Cancelled, .verdict = Verdict::Ran, .detail = "the caller left the stream"
            };
        if (*part)
            continue;
        m_isDone = true;
        m_verdict = Verdict::Ran;
        m_state.suspects().noteServed(m_digest);
        const auto ec = co_await m_exchange.endStream();
        logEnd(ec ? "undelivered" : "served", attempt.stream->status(), ec ? ec.message() : "");
        co_return std::nullopt;
    }
}

void RequestRun::finishAttempt(Attempt& attempt, const std::optional<Failure>& failure)
{
    auto outcome = AttemptOutcome::Served;
    const bool isOutOfTime = m_state.clock().now() >= m_deadline;
    if (failure) {
        if (failure->code == Errc::Refused)
            outcome = AttemptOutcome::Refused;
        else if (!attempt.wasSent && !m_isClientGone)
            outcome = AttemptOutcome::Unreachable;
        else if (m_isClientGone || (isOutOfTime && attempt.hadFirstAnswer))
            outcome = AttemptOutcome::Abandoned;
        else
            outcome = AttemptOutcome::Failed;
    } else if (attempt.stream && attempt.stream->status() / 100 == 5) {
        outcome = AttemptOutcome::Failed;
    }
    m_state.loads().end(attempt.id, attempt.sent, attempt.hadFirstAnswer, outcome);
    m_wasSent = attempt.wasSent;
    if (attempt.wasSent)
        ++m_upstreamsTried;
    else
        ++m_connectFailures;
    if (attempt.wasSent && (!failure || failure->verdict != Verdict::NotRun))
        ++m_upstreamsRun;
    if (!attempt.head.isMisdirected)
        m_tried.insert(attempt.id);
    static constexpr std::string_view names[] = { "served", "failed", "refused", "unreachable", "abandoned" };
    m_services.metrics.noteAttempt(names[static_cast<std::size_t>(outcome)]);
    if (outcome == AttemptOutcome::Failed && failure && failure->code == Errc::ConnectionClosed)
        suspectCrash(attempt);
}

/// Counts a crash against the request if the upstream no longer listens. A connection that broke for another reason
/// says nothing about the request.
void RequestRun::suspectCrash(const Attempt& attempt)
{
    auto probe = [](RequestServices services, Address address, std::string upstream, std::string digest,
                     std::string request) -> asio::awaitable<void> {
        if (co_await services.client.isListening(address, crashProbeTimeout))
            co_return;
        services.state.suspects().noteCrash(digest);
        LOG(WARNING) << "event=crash-suspected request=" << request << " upstream=" << upstream << " digest=" << digest;
    };
    spawnLogged(
        m_state.context(), probe(m_services, attempt.address, attempt.id, m_digest, m_request.id), "crash-probe");
}

} // namespace bulrushstack
