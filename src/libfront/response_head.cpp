#include "request_forwarder.h"

#include <glog/logging.h>

// Whether the head of a response is that of the response to the request, and what it says of its upstream.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr unsigned mismatchedResponseLimit = 3;
constexpr unsigned noContentStatus = 204;

} // namespace

asio::awaitable<std::optional<Failure>> RequestForwarder::validateResponseHead(Attempt& attempt)
{
    auto& stream = *attempt.stream;
    attempt.head = m_dependencies.format.decodeResponseHead(stream.status(), stream.headers());
    for (unsigned i = 0; !attempt.head.requestId.empty() && attempt.head.requestId != m_request.id; ++i) {
        LOG(WARNING) << "event=stray-answer request=" << m_request.id << " upstream=" << attempt.upstreamId
                     << " answer_for=" << attempt.head.requestId << " status=" << stream.status()
                     << " connection=" << stream.connection().number
                     << " connection_requests=" << stream.connection().requests;
        m_dependencies.metrics.recordStrayResponse();
        if (i >= mismatchedResponseLimit)
            co_return invalidResponse(Errc::MismatchedResponse, "the response belongs to another request");
        auto next = co_await stream.nextResponse();
        if (!next)
            co_return next.error();
        attempt.head = m_dependencies.format.decodeResponseHead(stream.status(), stream.headers());
    }
    const auto& head = attempt.head;
    const unsigned status = stream.status();
    if (!isOwnResponse(attempt))
        co_return invalidResponse(
            Errc::Malformed, "a response on a used connection names no request, status " + std::to_string(status));
    applyResponseState(attempt);
    if (head.isNotExecuted || head.isMisdirected) {
        applyRefusal(attempt);
        if (head.isMisdirected)
            m_state.residencyHints().recordAbsent(attempt.upstreamId, m_request.model, m_request.adapter);
        if (head.isMisdirected && !m_request.adapter.empty())
            m_adapterRefusedBy = attempt.upstreamId;
        auto body = co_await stream.readAll(); // If the body cannot be read, only the connection is lost.
        co_return Failure { .code = Errc::Refused,
            .verdict = Verdict::NotRun,
            .detail = "the upstream did not execute the request, status " + std::to_string(status)
                + (head.requestId.empty() ? ", naming no request" : "") + (body ? "" : ", body unreadable") };
    }
    if (head.isContentEncoded)
        co_return invalidResponse(Errc::Malformed, "the response has a content encoding");
    if (!head.hasResponseSeal && (status / 100 == 2 || head.requestId.empty()))
        co_return invalidResponse(
            Errc::Malformed, "the response has no seal of the upstream, status " + std::to_string(status));
    if (impliesNotExecuted(status))
        co_return invalidResponse(Errc::Malformed,
            "the upstream responded with status " + std::to_string(status)
                + " without stating whether it executed the request");
    co_return std::nullopt;
}

/// Returns whether a response is that of this attempt. A faulty upstream may send an earlier response again on the same
/// connection. Its id tells it apart, since the connection has not carried this request before; without an id, the
/// response must be the first one on its connection.
bool RequestForwarder::isOwnResponse(const Attempt& attempt) const
{
    return attempt.head.requestId == m_request.id || attempt.stream->connection().isNew();
}

/// Returns whether a response is a stream of events. One whose status allows no body is not, whatever type it states:
/// its end would be taken for that of a stream that it should go on with, and chunks can't follow it.
bool RequestForwarder::isEventStream(const HttpStream& stream) const
{
    return stream.status() / 100 == 2 && stream.status() != noContentStatus
        && m_dependencies.format.isEventStream(stream.headers());
}

/// Applies what the response announces about its upstream. The response to a misdirected request may be that of another
/// process, to which the address of the chosen one belongs now. Only a departure is applied then, since the chosen
/// process has gone in that case as well.
void RequestForwarder::applyResponseState(const Attempt& attempt)
{
    if (attempt.head.isLeaving)
        m_state.markLeaving(attempt.upstreamId, attempt.startedAt, "request");
    if (attempt.head.isMisdirected)
        return;
    auto& directory = m_state.directory();
    if (attempt.head.retryAfter
        && directory.recordPause(attempt.upstreamId, attempt.startedAt, *attempt.head.retryAfter))
        LOG(INFO) << "event=upstream-pause upstream=" << attempt.upstreamId
                  << " source=request request=" << m_request.id << " pause_ms=" << attempt.head.retryAfter->count()
                  << " directory=" << directory.version();
    if (attempt.head.load && attempt.head.load->slowdown)
        m_state.upstreamPace().recordStated(attempt.upstreamId, attempt.startedAt, *attempt.head.load->slowdown);
    applyRateLimit(attempt);
    if (directory.recordRefusalLimit(attempt.upstreamId, attempt.head.refusalLimit, attempt.sentRequest.sent))
        LOG(INFO) << "event=upstream-brittle upstream=" << attempt.upstreamId << " request=" << m_request.id
                  << " refusals_per_second="
                  << (attempt.head.refusalLimit ? std::to_string(*attempt.head.refusalLimit) : "none");
}

/// Applies the refusal of a request that the upstream has no room for.
void RequestForwarder::applyRefusal(const Attempt& attempt)
{
    if (attempt.head.isMisdirected)
        return;
    if (attempt.head.load)
        m_state.upstreamLoads().recordReport(attempt.upstreamId, *attempt.head.load);
    if (attempt.head.refusalLimit)
        m_dependencies.refusals.recordRefusal(attempt.upstreamId, attempt.startedAt, *attempt.head.refusalLimit);
}

void RequestForwarder::applyRateLimit(const Attempt& attempt)
{
    const auto& limit = attempt.head.rateLimit;
    auto& directory = m_state.directory();
    if (!directory.recordRateLimit(attempt.upstreamId, attempt.startedAt, limit, attempt.sentRequest.sent))
        return;
    LOG(INFO) << "event=upstream-rate-limit upstream=" << attempt.upstreamId << " request=" << m_request.id
              << " per_second=" << (limit ? std::to_string(*limit) : "none") << " directory=" << directory.version();
}

} // namespace bulrushstack
