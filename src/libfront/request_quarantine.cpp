#include "request_forwarder.h"

#include "bulrushstack/kernel/tasks.h"
#include "reachability_monitor.h"
#include <glog/logging.h>

// What a request has to do with crashes of upstreams: whether its contents are quarantined, trials, and the evidence
// that a failed attempt gives.

namespace bulrushstack {

namespace {

namespace asio = boost::asio;

constexpr Milliseconds crashProbeTimeout { 200 };
/// Time between two probes of an upstream that closed a connection. The connections of a process that crashes may end
/// before its listening socket.
constexpr Milliseconds crashProbeInterval { 50 };
/// Other upstreams that are probed to tell a crash from a loss of this instance's path.
constexpr std::size_t otherUpstreamsProbed = 2;
/// Time within which this instance hears of the requests that an upstream refused to other instances.
constexpr Milliseconds refusalNoticePeriod { 200 };
/// Time for which an upstream may produce events of a stream before its prompt crashes it.
constexpr Milliseconds crashOnset { 1000 };

/// Returns the suspects as fields of a log line.
std::string suspectsForLog(const std::vector<CrashSuspect>& suspects)
{
    std::string out;
    for (const auto& it : suspects)
        out += " " + std::string(toString(it.suspect.kind)) + "=" + it.suspect.id;
    return out;
}

asio::awaitable<bool> isStillListening(RequestDependencies dependencies, Address address)
{
    bool isListening = co_await dependencies.client.isListening(address, crashProbeTimeout);
    if (isListening) {
        co_await sleepFor(dependencies.state.context(), crashProbeInterval);
        isListening = co_await dependencies.client.isListening(address, crashProbeTimeout);
    }
    co_return isListening;
}

/// Returns whether an upstream is brittle and may have failed because of the requests that it had to refuse.
asio::awaitable<bool> mayHaveFailedByRefusals(
    RequestDependencies dependencies, std::string service, std::string upstream, std::uint64_t startedAt)
{
    const auto limit = dependencies.state.directory().refusalLimit(service);
    if (!limit)
        co_return false;
    co_await sleepFor(dependencies.state.context(), refusalNoticePeriod);
    const bool isExplained = dependencies.state.recentRefusals().mayExplainFailure(upstream, startedAt, *limit);
    LOG(INFO) << "event=brittle-upstream-failed upstream=" << upstream << " started_at=" << startedAt
              << " refusals_per_second=" << *limit << " by_refusals=" << isExplained;
    co_return isExplained;
}

/// Returns whether this instance can connect to another upstream than the given one, or whether there is no other one.
/// If it cannot, its own path is at fault, and no upstream has crashed.
asio::awaitable<bool> isConnected(RequestDependencies dependencies, std::string except)
{
    auto others = upstreamsToProbe(dependencies.state, otherUpstreamsProbed + 1);
    std::erase_if(others, [&](const UpstreamEntry* it) { return it->id == except; });
    std::vector<std::pair<std::string, Address>> targets;
    targets.reserve(others.size());
    for (const auto* it : others)
        targets.emplace_back(it->id, it->address);
    for (const auto& [id, address] : targets) {
        if (co_await probeUpstream(dependencies.state, dependencies.client, id, address))
            co_return true;
    }
    co_return targets.empty();
}

} // namespace

/// Returns the error for a request that would probably crash the upstream that runs it; empty if it may run.
std::optional<Problem> RequestForwarder::quarantineProblem() const
{
    if (!m_trial.empty())
        return std::nullopt;
    const auto suspect = m_state.crashSuspects().findQuarantined(m_crashSuspects);
    if (!suspect)
        return std::nullopt;
    return Problem { .code = ProblemCode::NoUpstream,
        .detail = "upstreams crashed while they executed requests with the same " + std::string(toString(suspect->kind))
            + " " + suspect->id };
}

/// Returns whether the request is quarantined and could be let through as a trial, as far as this instance knows.
bool RequestForwarder::isTrialDue() const
{
    const auto suspects = m_state.crashSuspects().quarantinedAmong(m_crashSuspects);
    return !suspects.empty() && m_state.crashSuspects().isTrialDue(suspects);
}

/// Obtains a trial if the request is quarantined and a trial is due. None is taken from other requests while no
/// upstream could run this one.
asio::awaitable<void> RequestForwarder::obtainTrial()
{
    if (!isTrialDue() || !m_trial.empty() || rankCandidates().empty())
        co_return;
    TrialRequest request { .suspects = m_state.crashSuspects().quarantinedAmong(m_crashSuspects) };
    const bool isGranted = co_await m_dependencies.trials.obtain(request, m_deadline);
    if (isGranted)
        m_trial = std::move(request.suspects);
}

/// Records that the request was sent as a trial, which is over then.
void RequestForwarder::recordTrialSent()
{
    if (!m_trial.empty())
        m_state.recordTrial(m_request.id, std::exchange(m_trial, {}));
}

/// Ends a request that was quarantined while it waited, or after an attempt. It is not to be sent again, so that the
/// response has no Retry-After.
asio::awaitable<void> RequestForwarder::endQuarantined(Problem problem)
{
    if (m_verdict == Verdict::NotRun && !m_isStreaming) {
        co_await sendError(std::move(problem), std::nullopt);
        co_return;
    }
    co_await respondWithFailure(unavailableFailure(std::move(problem.detail)));
}

/// Returns whether a prompt part can be the cause if the upstream has crashed. Such a part crashes each upstream that
/// begins to write a response to it; some events may arrive before.
bool RequestForwarder::Attempt::mayPromptHaveCrashedUpstream() const
{
    return !hasFirstResponse || lastEventAt - firstEventAt < crashOnset;
}

/// Returns whether the process that ran the attempt was to end anyway: it is shutting down, or its entry was removed.
bool RequestForwarder::wasEndExpected(const Attempt& attempt) const
{
    const auto* entry = m_state.directory().find(attempt.upstreamId);
    return !entry || (entry->startedAt == attempt.startedAt && m_state.directory().isLeaving(*entry));
}

/// Suspects the contents of the request of a crash if the upstream no longer accepts connections. A connection that
/// broke for another reason says nothing about the request, nor does the end of a process that was shutting down.
void RequestForwarder::probeForCrash(const Attempt& attempt)
{
    if (wasEndExpected(attempt))
        return;
    auto suspects = m_crashSuspects;
    if (!attempt.mayPromptHaveCrashedUpstream())
        std::erase_if(suspects, [](const auto& it) { return it.suspect.kind == SuspectKind::PromptPart; });
    auto probe = [](RequestDependencies dependencies, Address address, std::string service, std::string upstream,
                     std::uint64_t startedAt, std::vector<CrashSuspect> suspects, std::string request,
                     bool hasProcessEnded) -> asio::awaitable<void> {
        if (!hasProcessEnded && co_await isStillListening(dependencies, address))
            co_return;
        dependencies.state.reachability().recordConnectFailure(upstream);
        if (co_await mayHaveFailedByRefusals(dependencies, service, upstream, startedAt))
            co_return;
        if (!co_await isConnected(dependencies, upstream))
            co_return;
        LOG(WARNING) << "event=crash-suspected request=" << request << " upstream=" << upstream
                     << " started_at=" << startedAt << suspectsForLog(suspects);
        dependencies.state.recordCrash(upstream, startedAt, suspects);
    };
    spawnLogged(m_state.context(),
        probe(m_dependencies, attempt.address, m_service->name, attempt.upstreamId, attempt.startedAt,
            std::move(suspects), m_request.id, attempt.hasProcessEnded),
        "crash-probe");
}

} // namespace bulrushstack
