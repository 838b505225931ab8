#include "request_forwarder.h"

#include "bulrushstack/kernel/tasks.h"
#include <glog/logging.h>

// Whether a response that ended with its connection is whole. The connections of a process that crashes end in order
// as well, so that the evidence lies beside the response: whether its process still runs.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

/// Time after the end of a connection by which a process that crashes no longer listens, and its other connections have
/// ended. It is shorter for a body that its caller gets only then; the events of a stream have been passed on before.
constexpr Milliseconds streamSettlingPeriod { 20 };
constexpr Milliseconds bodySettlingPeriod { 5 };
constexpr Milliseconds listeningProbeTimeout { 200 };
/// Responses that end in the same moment while their upstream listens: its process has been replaced at once.
constexpr std::size_t endsOfAReplacedProcess = 3;
/// Responses that end in the same moment as an upstream that is shutting down stops listening: it was killed.
constexpr std::size_t endsOfAKilledProcess = 2;

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

/// Returns why the process that sent a response seems to have ended with it; empty if nothing says so.
asio::awaitable<std::optional<std::string>> RequestForwarder::findEvidenceOfCrash(const Attempt& attempt)
{
    const UpstreamProcess process { .upstream = attempt.upstreamId, .startedAt = attempt.startedAt };
    co_await sleepFor(m_state.context(), m_isStreaming ? streamSettlingPeriod : bodySettlingPeriod);
    const bool isListening = co_await m_dependencies.client.isListening(attempt.address, listeningProbeTimeout);
    const auto* entry = m_state.directory().find(attempt.upstreamId);
    if (entry && entry->startedAt != attempt.startedAt && entry->address == attempt.address)
        co_return "another process has its address";
    if (isListening) {
        if (m_state.responseEnds().haveEndedTogether(process, endsOfAReplacedProcess))
            co_return "all its responses ended in the same moment";
        co_return std::nullopt;
    }
    if (!wasEndExpected(attempt))
        co_return "it no longer listens";
    // An upstream that is shutting down may stop listening before it finishes its requests.
    if (m_state.responseEnds().haveEndedTogether(process, endsOfAKilledProcess))
        co_return "all its responses ended in the same moment, while it was shutting down";
    co_return std::nullopt;
}

/// Returns a failure if the response ended with its connection and its process seems to have ended as well, so that the
/// rest of the response may be missing. Looks once at the upstream, and not at all if the framing proves the end.
asio::awaitable<std::optional<Failure>> RequestForwarder::confirmEnd(Attempt& attempt)
{
    if (attempt.stream->framing() != BodyFraming::CloseDelimited)
        co_return std::nullopt;
    attempt.load.release();
    attempt.inProgress.end();
    const auto evidence = co_await findEvidenceOfCrash(attempt);
    if (!evidence)
        co_return std::nullopt;
    attempt.hasProcessEnded = true;
    m_dependencies.metrics.recordDoubtfulEnd();
    LOG(WARNING) << "event=doubtful-end request=" << m_request.id << " upstream=" << attempt.upstreamId
                 << " started_at=" << attempt.startedAt << " reason=\"" << *evidence << "\"";
    co_return Failure { .code = Errc::ConnectionClosed,
        .verdict = Verdict::MayHaveRun,
        .detail = "the response ended with its connection when its upstream did: " + *evidence };
}

} // namespace bulrushstack
