#include "request_forwarder.h"

#include <glog/logging.h>

// The part of a request's handling in which another instance serves it, since this one is cut off from the upstreams.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time after the deadline for which the response of the other instance is still awaited.
constexpr Milliseconds peerResponseMargin { 100 };

} // namespace

/// Returns whether the request is to be handed to another instance: this one is cut off, and the request may run there.
bool RequestForwarder::mayRelay() const
{
    const bool mayRun
        = m_verdict == Verdict::NotRun || (m_route->isRepeatable() && m_attemptsMaybeExecuted < m_route->attemptLimit);
    return !m_relayed && !m_isRelayTried && !m_isStreaming && mayRun && m_state.reachability().isCutOff();
}

/// Hands the request to another instance. Returns false if none takes it; the client then has no response yet.
asio::awaitable<bool> RequestForwarder::relayToPeer()
{
    m_isRelayTried = true;
    // What arrives at an upstream there counts as a retry.
    if (m_attemptsSent > 0 && !m_state.retryBudget(m_service->name).tryConsume())
        co_return false;
    const RelayOptions options { .deadline = m_deadline + peerResponseMargin,
        .possibleRuns = m_attemptsMaybeExecuted,
        .cancellation = m_cancellation };
    auto request = m_dependencies.format.encodeForPeer(clientRequest(), timeLeft());
    request.id = m_request.id;
    auto stream = co_await m_dependencies.relay.open(std::move(request), options);
    m_dependencies.metrics.recordAttempt(stream ? "relayed" : "relay-failed");
    LOG(INFO) << "event=request-relayed request=" << m_request.id << " taken=" << bool(stream) << " error=\""
              << (stream ? "" : stream.error().detail) << "\"";
    if (!stream && stream.error().verdict == Verdict::NotRun && !m_isClientGone)
        co_return false;
    std::optional<Failure> failure;
    if (stream)
        failure = co_await relayPeerResponse(**stream);
    else
        failure = stream.error();
    if (!failure)
        co_return true;
    m_verdict = join(m_verdict, Verdict::MayHaveRun);
    if (m_isClientGone)
        endAfterClientDisconnect(failure->detail);
    else
        co_await respondWithFailure(std::move(*failure));
    co_return true;
}

/// Returns a failure if the response is not that of the request, or truncated.
asio::awaitable<std::optional<Failure>> RequestForwarder::relayPeerResponse(HttpStream& stream)
{
    const auto head = m_dependencies.format.decodeResponseHead(stream.status(), stream.headers());
    const bool isSuccess = stream.status() / 100 == 2;
    if (head.requestId != m_request.id || (isSuccess && !head.hasResponseSeal))
        co_return Failure { .code = Errc::MismatchedResponse,
            .verdict = Verdict::MayHaveRun,
            .detail = "the other instance's response is not that of the request" };
    m_responseFraming = stream.framing();
    if (isEventStream(stream))
        co_return co_await relayPeerStream(stream);
    auto body = co_await stream.readAll();
    if (!body)
        co_return body.error();
    const unsigned status = stream.status();
    HttpResponse response { .status = status,
        .headers = m_dependencies.format.forwardedResponseHeaders(stream.headers()),
        .body = std::move(*body) };
    m_isDone = true;
    const auto ec = co_await m_exchange.respond(std::move(response));
    logCompletion(ec ? "undelivered" : "relayed", status, ec ? ec.message() : "");
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> RequestForwarder::relayPeerStream(HttpStream& stream)
{
    for (;;) {
        auto part = co_await stream.read();
        if (!part)
            co_return part.error();
        if (!m_isStreaming) {
            m_isStreaming = true;
            const auto headers = m_dependencies.format.forwardedResponseHeaders(stream.headers());
            const auto ec = co_await m_exchange.beginStream(stream.status(), headers);
            m_isClientGone = m_isClientGone || ec;
        }
        if (*part && !m_isClientGone) {
            const std::string events = m_eventSplitter.extractEvents(**part);
            const auto ec = co_await m_exchange.write(events);
            m_isClientGone = m_isClientGone || ec;
        }
        if (m_isClientGone)
            co_return Failure {
                .code = Errc::Cancelled, .verdict = Verdict::MayHaveRun, .detail = "the client closed the stream"
            };
        if (*part)
            continue;
        if (m_eventSplitter.pendingBytes() > 0)
            co_return Failure { .code = Errc::ConnectionClosed,
                .verdict = Verdict::MayHaveRun,
                .detail = "the other instance's stream ended inside an event" };
        m_isDone = true;
        const auto ec = co_await m_exchange.endStream();
        logCompletion(ec ? "undelivered" : "relayed", stream.status(), ec ? ec.message() : "");
        co_return std::nullopt;
    }
}

} // namespace bulrushstack
