#include "request_forwarder.h"

#include <glog/logging.h>

// One attempt to serve a request from one upstream: sends the request, relays the response, and records how the
// upstream performed. Whether a response is one is judged in response_head.cpp and response_end.cpp.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;

/// Time after the deadline for which the upstream's own response is still awaited.
constexpr Milliseconds upstreamResponseMargin { 80 };

/// Time that the network takes to the upstream. It is subtracted from the time left, so that the upstream stops before
/// the client does.
constexpr Milliseconds networkMargin { 3 };

constexpr Milliseconds connectTimeout { 250 };
/// A connection to an upstream fails after this time without TCP acknowledgements.
constexpr Milliseconds tcpKeepAliveTimeout { 2000 };
constexpr std::chrono::seconds maxConnectionIdleTime { 20 };

/// Maximum idle time of a connection that is reused for a request that must not be repeated. Such a request is lost if
/// the upstream closes the connection while the request arrives.
constexpr std::chrono::seconds maxIdleTimeForNonRepeatable { 2 };

/// An upstream with an error of its own may have failed before it ran the request.
constexpr unsigned firstServerErrorStatus = 500;
/// Maximum size of one event of a stream, in bytes.
constexpr std::size_t maxEventSize = 1024 * 1024;

} // namespace

SteadyTime RequestForwarder::attemptDeadline() const
{
    const auto last = effectiveDeadline() + upstreamResponseMargin;
    if (m_route->kind != CallKind::Idempotent || m_attemptsMaybeExecuted + 1 >= m_route->attemptLimit)
        return last;
    // A lost response is noticed only by a timeout, which must leave time for another attempt to serve the client.
    return std::min(last, m_state.clock().now() + m_route->latencyObjective);
}

asio::awaitable<std::optional<Failure>> RequestForwarder::attempt(const RankedUpstream& chosen)
{
    Attempt attempt { .upstreamId = chosen.upstream->id,
        .startedAt = chosen.upstream->startedAt,
        .softwareVersion = chosen.upstream->softwareVersion,
        .address = chosen.upstream->address,
        .sentRequest = { .sent = m_state.clock().now(),
            .urgency = urgency(),
            .prefillTokens = m_service->engine ? chosen.prefillTokens : 0,
            .prefillTime = duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double, std::milli>(m_service->engine ? chosen.prefillMs : 0)) } };
    m_lastUpstream = attempt.upstreamId;
    attempt.load = m_state.upstreamLoads().begin(attempt.upstreamId, attempt.sentRequest);
    auto failure = co_await open(attempt);
    if (attempt.wasSent)
        recordTrialSent();
    if (!failure)
        failure = co_await validateResponseHead(attempt);
    if (!failure && !m_isDone) {
        m_responseFraming = attempt.stream->framing();
        if (m_responseFraming == BodyFraming::CloseDelimited)
            attempt.process = m_dependencies.processes.watch(
                { .upstream = attempt.upstreamId, .startedAt = attempt.startedAt }, attempt.address);
        if (isEventStream(*attempt.stream))
            failure = co_await relayEventStream(attempt);
        else
            failure = co_await relayBufferedResponse(attempt);
    }
    finishAttempt(attempt, failure);
    co_return failure;
}

asio::awaitable<std::optional<Failure>> RequestForwarder::open(Attempt& attempt)
{
    ForwardingFields forwardingFields { .upstreamId = attempt.upstreamId,
        .timeLeft = std::max(Milliseconds(1), timeLeft() - networkMargin),
        .urgency = urgency(),
        .hasTeams = m_configuration->teams() != nullptr,
        .team = m_team ? m_team->name : std::string() };
    if (m_isStreaming)
        forwardingFields.resumeAfterEventId = m_eventSplitter.lastEventId();
    HttpCallOptions options;
    options.deadline = attemptDeadline();
    options.isLateResponseRead = true;
    options.maxIdle = m_route->isRepeatable() ? maxConnectionIdleTime : maxIdleTimeForNonRepeatable;
    options.connectTimeout = connectTimeout;
    options.tcpKeepAliveTimeout = tcpKeepAliveTimeout;
    options.isCloseDelimitedBodyAccepted = true;
    options.bodyLimit = m_configuration->limits().bodyBytes;
    options.bufferBudget = m_dependencies.responseBuffers;
    options.cancellation = m_cancellation;
    options.sendBy = m_permit.sendBy;
    options.establishedBefore = m_establishedBefore;
    auto request = m_dependencies.format.encode(clientRequest(), forwardingFields);
    request.id = m_request.id;
    auto stream = co_await m_dependencies.client.open(attempt.address, std::move(request), options);
    if (!stream) {
        attempt.wasSent = stream.error().verdict != Verdict::NotRun;
        if (!attempt.wasSent && !m_cancellation->isCancelled() && !m_permit.sendBy && !m_establishedBefore)
            m_state.reachability().recordConnectFailure(attempt.upstreamId);
        m_attemptsSent += attempt.wasSent ? 1 : 0;
        co_return stream.error();
    }
    attempt.wasSent = true;
    ++m_attemptsSent;
    attempt.stream = std::move(*stream);
    if (attempt.stream->connection().isNew())
        m_state.reachability().recordConnected();
    co_return std::nullopt;
}

void RequestForwarder::recordFirstResponse(Attempt& attempt)
{
    if (attempt.hasFirstResponse)
        return;
    attempt.hasFirstResponse = true;
    const auto now = m_state.clock().now();
    if (!m_firstResponseAfter)
        m_firstResponseAfter = millisecondsOf(now - m_receivedAt);
    m_state.upstreamLoads().recordFirstResponse(attempt.load, attempt.head.load);
    if (!m_service->engine)
        return;
    m_state.upstreamLoads().recordPrefix(attempt.upstreamId, prefixKey(m_request));
    m_state.updatePrefillEstimate(m_request.model, attempt.sentRequest.prefillTokens, now - attempt.sentRequest.sent);
    m_dependencies.metrics.recordFirstEvent(now - m_receivedAt);
}

asio::awaitable<std::optional<Failure>> RequestForwarder::relayBufferedResponse(Attempt& attempt)
{
    auto body = co_await attempt.stream->readAll();
    if (!body)
        co_return body.error();
    recordFirstResponse(attempt);
    if (auto failure = co_await confirmEnd(attempt))
        co_return failure;
    HttpResponse response;
    response.status = attempt.stream->status();
    response.headers = m_dependencies.format.forwardedResponseHeaders(attempt.stream->headers());
    response.body = std::move(*body);
    if (m_isStreaming)
        co_return invalidResponse(
            Errc::Malformed, "the stream could not be resumed, status " + std::to_string(response.status));
    // Whatever the response says of the request, the upstream has run it to the end.
    if (response.status < firstServerErrorStatus && attempt.head.hasResponseSeal)
        m_state.recordServed(m_crashSuspects);
    if (response.status / 100 == 5 && m_route->isRepeatable()) {
        const unsigned status = response.status;
        m_upstreamErrorResponse = std::move(response);
        co_return Failure { .code = Errc::UpstreamError,
            .verdict = Verdict::Ran,
            .detail = "the upstream responded with status " + std::to_string(status) };
    }
    co_return co_await sendResponse(std::move(response));
}

asio::awaitable<std::optional<Failure>> RequestForwarder::sendResponse(HttpResponse response)
{
    const unsigned status = response.status;
    m_isDone = true;
    m_verdict = Verdict::Ran;
    const auto ec = co_await m_exchange.respond(std::move(response));
    logCompletion(
        ec ? "undelivered" : (status / 100 == 2 ? "served" : "upstream-error"), status, ec ? ec.message() : "");
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> RequestForwarder::relayEventStream(Attempt& attempt)
{
    for (;;) {
        auto part = co_await attempt.stream->read();
        if (!part || !*part) {
            auto failure = part ? truncationFailure(attempt) : part.error();
            if (!failure)
                failure = co_await confirmEnd(attempt);
            m_partialEventBytes = m_eventSplitter.pendingBytes();
            m_eventSplitter.dropPartialEvent();
            if (!failure)
                co_await completeStream(attempt);
            co_return failure;
        }
        const std::string events = m_eventSplitter.extractEvents(**part);
        const std::size_t pendingBytes = m_eventSplitter.pendingBytes();
        if (pendingBytes > maxEventSize || !m_eventBuffer.resize(pendingBytes)) {
            m_eventSplitter.dropPartialEvent();
            m_eventBuffer.resize(0);
            co_return invalidResponse(
                Errc::TooLarge, "an event of more than " + std::to_string(pendingBytes) + " bytes is not buffered");
        }
        if (events.empty())
            continue;
        recordEvents(attempt);
        co_await beginClientStream(attempt);
        if (!m_isClientGone) {
            const auto ec = co_await m_exchange.write(events);
            m_isClientGone = m_isClientGone || ec;
        }
        if (m_isClientGone)
            co_return Failure {
                .code = Errc::Cancelled, .verdict = Verdict::Ran, .detail = "the client closed the stream"
            };
    }
}

void RequestForwarder::recordEvents(Attempt& attempt)
{
    const auto now = m_state.clock().now();
    if (m_lastEventAt)
        m_longestGap = std::max(m_longestGap, millisecondsOf(now - *m_lastEventAt));
    m_lastEventAt = now;
    if (attempt.hasFirstResponse)
        m_state.upstreamPace().recordEventGap(
            attempt.upstreamId, attempt.startedAt, m_request.model, now - attempt.lastEventAt);
    else
        attempt.firstEventAt = now;
    attempt.lastEventAt = now;
}

/// Sends the header of the response to the client unless it was sent by this or an earlier attempt.
asio::awaitable<void> RequestForwarder::beginClientStream(Attempt& attempt)
{
    recordFirstResponse(attempt);
    if (m_isStreaming)
        co_return;
    m_isStreaming = true;
    recordStreamOrigin(attempt);
    const auto headers = m_dependencies.format.forwardedResponseHeaders(attempt.stream->headers());
    const auto ec = co_await m_exchange.beginStream(attempt.stream->status(), headers);
    m_isClientGone = m_isClientGone || ec;
}

asio::awaitable<void> RequestForwarder::completeStream(Attempt& attempt)
{
    co_await beginClientStream(attempt);
    m_isDone = true;
    m_verdict = Verdict::Ran;
    m_state.recordServed(m_crashSuspects);
    const auto ec = co_await m_exchange.endStream();
    logCompletion(ec ? "undelivered" : "served", attempt.stream->status(), ec ? ec.message() : "");
}

void RequestForwarder::finishAttempt(Attempt& attempt, const std::optional<Failure>& failure)
{
    auto outcome = AttemptOutcome::Served;
    const bool isOutOfTime = m_state.clock().now() >= m_deadline;
    if (failure) {
        if (failure->code == Errc::Refused)
            outcome = AttemptOutcome::Refused;
        else if (!attempt.wasSent && !m_isClientGone && !m_isAborted)
            outcome = AttemptOutcome::Unreachable;
        else if (m_isClientGone || m_isAborted || (isOutOfTime && attempt.hasFirstResponse))
            outcome = AttemptOutcome::Abandoned;
        else
            outcome = AttemptOutcome::Failed;
    } else if (attempt.stream && attempt.stream->status() / 100 == 5) {
        outcome = AttemptOutcome::Failed;
    }
    m_state.upstreamLoads().recordOutcome(attempt.load, outcome);
    m_wasLastAttemptSent = attempt.wasSent;
    m_lastConnection = attempt.stream ? attempt.stream->connection() : HttpConnectionInfo();
    if (!attempt.wasSent)
        ++m_connectFailures;
    if (attempt.wasSent && (!failure || failure->verdict != Verdict::NotRun))
        ++m_attemptsMaybeExecuted;
    if (!attempt.head.isMisdirected)
        m_triedUpstreams.insert(attempt.upstreamId);
    static constexpr std::string_view outcomeLabels[] = { "served", "failed", "refused", "unreachable", "abandoned" };
    m_dependencies.metrics.recordAttempt(outcomeLabels[static_cast<std::size_t>(outcome)]);
    if (outcome == AttemptOutcome::Failed && failure && failure->code == Errc::ConnectionClosed)
        probeForCrash(attempt);
}

} // namespace bulrushstack
