#include "request_forwarder.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

// Whether a response that ended with its connection is whole. The connections of a process that crashes end in order
// as well, so that the evidence lies beside the response: whether its process has outlived it.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time in which this instance hears of the end of the other connections of a process that ended with a response. It is
/// shorter for a body that its caller gets only then; the events of a stream have been passed on before.
constexpr Milliseconds streamSettlingPeriod { 20 };
constexpr Milliseconds bodySettlingPeriod { 5 };
constexpr Milliseconds listeningProbeTimeout { 200 };

} // namespace

/// Returns a failure if the stream is truncated although the end of its body looks complete. A body that ends
/// with its connection needs at least one event as evidence that the upstream did not crash before it.
std::optional<Failure> RequestForwarder::truncationFailure(const Attempt& attempt) const
{
    Failure failure { .code = Errc::ConnectionClosed, .verdict = Verdict::MayHaveRun };
    if (m_eventSplitter.pendingBytes() > 0) {
        failure.detail = "the stream ended inside an event";
        return failure;
    }
    if (attempt.stream->framing() == BodyFraming::CloseDelimited && !attempt.hasFirstResponse) {
        failure.detail = "the stream ended with its connection before any event";
        return failure;
    }
    return std::nullopt;
}

/// Finds out what is known of the process shortly after the end of its response.
asio::awaitable<ResponseEndFacts> RequestForwarder::observeEnd(const Attempt& attempt, SteadyTime endedAt)
{
    co_await sleepFor(m_state.context(), m_isStreaming ? streamSettlingPeriod : bodySettlingPeriod);
    ResponseEndFacts facts { .process = attempt.process->stateAt(endedAt) };
    const auto isReplaced = [&] {
        const auto* entry = m_state.directory().find(attempt.upstreamId);
        return entry && entry->startedAt != attempt.startedAt && entry->address == attempt.address;
    };
    facts.isReplaced = isReplaced();
    if (!needsListeningProbe(facts))
        co_return facts;
    facts.isListening = co_await m_dependencies.client.isListening(attempt.address, listeningProbeTimeout);
    facts.isReplaced = isReplaced();
    co_return facts;
}

/// Returns a failure if the response ended with its connection and nothing shows that its process has outlived it, so
/// that the rest of the response may be missing. Does not look if the framing proves the end.
asio::awaitable<std::optional<Failure>> RequestForwarder::confirmEnd(Attempt& attempt)
{
    if (attempt.stream->framing() != BodyFraming::CloseDelimited)
        co_return std::nullopt;
    attempt.load.release();
    const auto idleTime = attempt.process->idleTime();
    const auto facts = co_await observeEnd(attempt, m_state.clock().now());
    const auto verdict = judgeResponseEnd(facts);
    LOG(INFO) << "event=response-end request=" << m_request.id << " upstream=" << attempt.upstreamId
              << " started_at=" << attempt.startedAt << " verdict=" << toString(verdict)
              << " process=" << toString(facts.process)
              << " idle_ms=" << (idleTime ? std::to_string(millisecondsOf(*idleTime).count()) : "none")
              << " replaced=" << facts.isReplaced
              << " listening=" << (facts.isListening ? std::to_string(*facts.isListening) : "untried")
              << " leaving=" << wasEndExpected(attempt);
    if (verdict == ResponseEndVerdict::Whole)
        co_return std::nullopt;
    attempt.hasProcessEnded = verdict == ResponseEndVerdict::ProcessEnded;
    m_dependencies.metrics.recordDoubtfulEnd();
    co_return Failure { .code = Errc::ConnectionClosed,
        .verdict = Verdict::MayHaveRun,
        .detail = attempt.hasProcessEnded
            ? "the response ended with its connection when its upstream did"
            : "the response ended with its connection, and nothing shows that its upstream outlived it" };
}

} // namespace bulrushstack
