#include "request_forwarder.h"

#include "bulrushstack/serving/brittle_upstreams.h"
#include <algorithm>
#include <cmath>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;

constexpr Milliseconds adapterTimeout { 400 };
constexpr Milliseconds adapterRetryDelay { 100 };
constexpr unsigned adapterRequestLimit = 4;
constexpr Milliseconds minResidencyWait { 1500 };
/// Maximum fraction of its time that a request waits for its model to be loaded.
constexpr double residencyWaitShare = 0.5;

/// Maximum fraction of its latency objective that a request waits for an upstream that is pausing or without a permit.
constexpr double suspensionWaitShare = 0.5;

/// An instance that stops within this time starts no request any more.
constexpr Milliseconds startMargin { 1000 };

constexpr Milliseconds overloadRetryAfter { 300 };
constexpr Milliseconds missingModelRetryAfter { 1000 };
/// By then the instance at which a stream began has told others of it, if it can.
constexpr Milliseconds unknownOriginRetryAfter { 500 };
/// Routes with at least this latency objective come after other routes of the same priority.
constexpr Milliseconds relaxedLatencyObjective { 2000 };
constexpr unsigned lowestUrgency = 9;

/// Random part of the retry delay of requests over a quota, so that their callers do not return together.
constexpr double quotaRetrySpread = 0.5;

double unitsOf(const QuotaSpec& quota, const ServingRequest& request)
{
    if (quota.unit == QuotaUnit::Requests)
        return 1;
    const double tokens = static_cast<double>(request.promptTokens) + request.maxOutputTokens;
    return tokens > 0 ? tokens : quota.unitsWithoutTokenCount;
}

} // namespace

RequestForwarder::RequestForwarder(
    RequestDependencies dependencies, HttpExchange& exchange, std::optional<RelayedRequest> relayed)
    : m_dependencies(dependencies)
    , m_state(dependencies.state)
    , m_activeRequests(m_state.activeRequests())
    , m_exchange(exchange)
    , m_relayed(std::move(relayed))
    , m_receivedAt(dependencies.state.clock().now())
    , m_eventBuffer(dependencies.responseBuffers)
{
    m_activeRequests->add(*this);
    if (!m_relayed || m_relayed->possibleRuns == 0)
        return;
    m_attemptsMaybeExecuted = m_relayed->possibleRuns;
    m_verdict = Verdict::MayHaveRun;
}

RequestForwarder::~RequestForwarder() { m_activeRequests->remove(*this); }

void RequestForwarder::abort()
{
    m_isAborted = true;
    m_cancellation->cancel();
}

asio::awaitable<void> RequestForwarder::run()
{
    if (auto problem = admissionProblem()) {
        std::optional<Milliseconds> retryAfter;
        if (!m_configuration)
            retryAfter = overloadRetryAfter;
        co_await sendError(*problem, retryAfter);
        co_return;
    }
    m_exchange.onClientGone([this, lifetime = std::weak_ptr(m_lifetime)] {
        if (lifetime.expired())
            return;
        m_isClientGone = true;
        m_cancellation->cancel();
        m_state.wakeWaitingRequests();
    });
    co_await runAdmitted();
}

std::optional<Problem> RequestForwarder::admissionProblem()
{
    auto request = m_dependencies.format.decode(clientRequest());
    if (!request)
        return Problem { .code = ProblemCode::MalformedRequest, .detail = request.error().detail };
    m_request = std::move(*request);
    m_configuration = m_state.configuration();
    if (!m_configuration)
        return Problem { .code = ProblemCode::NoUpstream, .detail = "no configuration has been read yet" };
    m_route = m_configuration->findRoute(m_request.host, m_request.path);
    if (!m_route)
        return Problem { .code = ProblemCode::NotFound, .detail = "no route matches this host and path" };
    if (auto problem = identificationProblem())
        return problem;
    m_service = m_configuration->findService(chooseService(*m_route, m_state.random()));
    if (!m_service)
        return Problem { .code = ProblemCode::NoUpstream, .detail = "the route refers to an unknown service" };
    const auto timeout
        = m_request.callerTimeout ? std::min(*m_request.callerTimeout, m_route->timeout) : m_route->timeout;
    m_deadline = m_receivedAt + timeout;
    m_crashSuspects = suspectsOf(m_request, requestDigest(m_request, clientRequest().target, clientRequest().body));
    return isTrialDue() ? std::nullopt : quarantineProblem();
}

/// Finds the team of the caller. Returns the error for a request that needs a key and has no valid one.
std::optional<Problem> RequestForwarder::identificationProblem()
{
    const auto& teams = m_configuration->teams();
    if (!teams)
        return std::nullopt;
    m_team = teams->findByKey(m_request.key);
    if (m_team || m_route->isPublic)
        return std::nullopt;
    if (m_request.key.empty())
        return Problem { .code = ProblemCode::MissingToken, .detail = "the request has no key of a team" };
    return Problem { .code = ProblemCode::InvalidToken, .detail = "the key belongs to no team" };
}

asio::awaitable<void> RequestForwarder::runAdmitted()
{
    if (mayRelay() && co_await relayToPeer())
        co_return;
    const bool isWithinQuota = co_await obtainQuota();
    if (!isWithinQuota)
        co_return;
    co_await serve();
    giveBackQuota();
}

/// Charges the request to the quota of its team. If the quota is used up, rejects the request and returns false.
asio::awaitable<bool> RequestForwarder::obtainQuota()
{
    if (!m_team || !m_team->quota)
        co_return true;
    const double units = unitsOf(*m_team->quota, m_request);
    const auto reply = co_await m_dependencies.quotas.obtain(*m_team, units, m_deadline);
    if (reply.isGranted) {
        m_chargedUnits = units;
        co_return true;
    }
    const auto spread = std::chrono::duration<double, std::milli>(reply.retryAfter) * m_state.randomFraction();
    const auto retryAfter = reply.retryAfter + duration_cast<Milliseconds>(quotaRetrySpread * spread);
    const Problem problem { .code = ProblemCode::QuotaExceeded,
        .detail = "the quota of team " + m_team->name + " is used up, units=" + std::to_string(std::lround(units)) };
    co_await sendError(problem, retryAfter);
    co_return false;
}

void RequestForwarder::giveBackQuota()
{
    if (m_chargedUnits > 0 && m_verdict == Verdict::NotRun)
        m_dependencies.quotas.giveBack(m_team->name, m_chargedUnits);
}

asio::awaitable<void> RequestForwarder::serve()
{
    m_state.retryBudget(m_service->name).recordRequest();
    if (m_service->engine) {
        const double workMs = estimateWorkMs(m_request, *m_service->engine, m_state.prefillMsPerToken(m_request.model));
        m_state.recordDemand(
            m_service->name, m_request, workMs, m_state.isModelResident(m_service->name, m_request.model));
    }
    if (isTakeUp() && !co_await findStreamVersion()) {
        m_retryAfter = unknownOriginRetryAfter;
        co_await respondWithFailure(
            unavailableFailure("the stream cannot be taken up at the software version that began it"));
        co_return;
    }
    if (m_streamVersion && m_service->engine && rankCandidates().empty())
        m_state.recordUnplacedStream(m_service->name, m_request, *m_streamVersion);
    for (;;) {
        co_await obtainTrial();
        if (auto problem = quarantineProblem()) {
            co_await endQuarantined(std::move(*problem));
            co_return;
        }
        const auto chosen = co_await chooseUpstream();
        if (m_isClientGone) {
            endAfterClientDisconnect("the client disconnected before an upstream was chosen");
            co_return;
        }
        if (m_isAborted || isTooLateToStart()) {
            co_await endForShutdown();
            co_return;
        }
        if (chosen && isRejectedForOverload(*chosen)) {
            Failure failure {
                .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "the upstreams are overloaded"
            };
            co_await respondWithFailure(std::move(failure));
            co_return;
        }
        if (!chosen) {
            co_await respondWithFailure(unavailableFailure("no upstream is available"));
            co_return;
        }
        if (auto problem = quarantineProblem()) {
            co_await endQuarantined(std::move(*problem));
            co_return;
        }
        auto failure = co_await attempt(*chosen);
        if (!failure || m_isDone)
            co_return;
        m_verdict = join(m_verdict, failure->verdict);
        if (m_isClientGone) {
            endAfterClientDisconnect(failure->detail);
            co_return;
        }
        if (m_isAborted) {
            co_await endForShutdown();
            co_return;
        }
        bool mayTryNext = mayRetry(*failure);
        if (mayTryNext)
            mayTryNext = co_await mayGoOn();
        if (mayTryNext && mayRelay() && co_await relayToPeer())
            co_return;
        if (!mayTryNext) {
            co_await respondWithFailure(std::move(*failure));
            co_return;
        }
    }
}

/// A request that an upstream may have executed, or whose stream has begun, is always continued.
bool RequestForwarder::isRejectedForOverload(const RankedUpstream& chosen)
{
    if (m_isStreaming || m_attemptsMaybeExecuted > 0)
        return false;
    const AdmissionInput input {
        .latencyObjective = m_route->latencyObjective, .timeLeft = timeLeft(), .jitter = m_state.randomFraction()
    };
    m_retryAfter = rejectionRetryDelay(input, chosen);
    if (m_retryAfter)
        LOG(INFO) << "event=overload request=" << m_request.id << " upstream=" << chosen.upstream->id
                  << " delay_ms=" << chosen.queueingDelay.count()
                  << " objective_ms=" << m_route->latencyObjective.count() << " urgency=" << urgency();
    return m_retryAfter.has_value();
}

std::vector<RankedUpstream> RequestForwarder::rankCandidates() const
{
    const SelectionInput input { .request = m_request,
        .zone = m_state.zone(),
        .engine = m_service->engine ? &*m_service->engine : nullptr,
        .latencyObjective = m_route->latencyObjective,
        .gapObjective = m_route->gapObjective,
        .pace = &m_state.upstreamPace(),
        .urgency = urgency(),
        .prefillMsPerToken = m_state.prefillMsPerToken(m_request.model),
        .tieBreaker = m_state.random(),
        .excluded = m_triedUpstreams };
    auto candidates = m_state.upstreamsWithModel(m_service->name, m_request);
    std::erase_if(candidates, [this](const auto* it) {
        return isBrittleAndFull(*it, m_state.directory(), m_state.upstreamLoads(), m_state.instanceCount());
    });
    if (m_streamVersion)
        std::erase_if(candidates, [this](const auto* it) { return it->softwareVersion != *m_streamVersion; });
    return rankUpstreams(input, candidates, m_state.upstreamLoads());
}

/// Returns whether upstreams could serve the request, but all of them are brittle and full.
bool RequestForwarder::areUpstreamsFull() const
{
    const auto upstreams = m_state.upstreamsWithModel(m_service->name, m_request);
    return !upstreams.empty() && std::all_of(upstreams.begin(), upstreams.end(), [this](const auto* it) {
        return isBrittleAndFull(*it, m_state.directory(), m_state.upstreamLoads(), m_state.instanceCount());
    });
}

asio::awaitable<std::optional<RankedUpstream>> RequestForwarder::chooseUpstream()
{
    for (;;) {
        if (m_isClientGone || m_isAborted || m_state.clock().now() >= m_deadline)
            co_return std::nullopt;
        auto ranked = rankCandidates();
        if (!ranked.empty()) {
            auto approved = co_await approve(ranked.front());
            if (approved)
                co_return approved;
            continue;
        }
        if (m_streamVersion && !m_state.directory().hasVersion(m_service->name, *m_streamVersion))
            co_return std::nullopt;
        if (m_storeUnreadableUntil > m_state.clock().now())
            co_return std::nullopt; // The version of those that could be chosen is unknown.
        m_retryAfter = m_state.remainingSuspension(m_service->name, m_request);
        if (m_retryAfter && !mayAwaitSuspended(*m_retryAfter))
            co_return std::nullopt;
        if (m_retryAfter) {
            co_await m_state.waitForChange(m_state.clock().now() + *m_retryAfter);
            continue;
        }
        if (areUpstreamsFull()) {
            m_retryAfter = overloadRetryAfter;
            co_return std::nullopt;
        }
        const bool mayWait = m_triedUpstreams.empty() || isTakeUp();
        if (!m_service->engine || !mayWait)
            co_return std::nullopt;
        const bool shouldChooseAgain = co_await waitForResidency();
        if (!shouldChooseAgain)
            co_return std::nullopt;
    }
}

/// Returns the candidate if a request may be sent to it now; empty if another candidate must be chosen.
asio::awaitable<std::optional<RankedUpstream>> RequestForwarder::approve(const RankedUpstream& candidate)
{
    const std::string id = candidate.upstream->id;
    const auto startedAt = candidate.upstream->startedAt;
    const bool isUnconfirmed = mustConfirmVersion(id);
    const bool isLimited = m_state.directory().rateLimit(id).has_value();
    m_permit = {};
    m_establishedBefore.reset();
    if (!isUnconfirmed && !isLimited)
        co_return candidate;
    if (isUnconfirmed && !co_await confirmVersion(id))
        co_return std::nullopt;
    if (isLimited) {
        const auto permit = co_await m_dependencies.permits.obtain(id, startedAt, m_deadline);
        if (!permit)
            co_return std::nullopt;
        m_permit = *permit;
    }
    // The directory may have changed meanwhile.
    const auto ranked = rankCandidates();
    const auto it
        = std::find_if(ranked.begin(), ranked.end(), [&](const RankedUpstream& it) { return it.upstream->id == id; });
    co_return it == ranked.end() ? std::nullopt : std::optional(*it);
}

/// Returns whether the request can still be served in time by an upstream that is suspended for the given time. A
/// request that would have to wait longer is rejected at once.
bool RequestForwarder::mayAwaitSuspended(Milliseconds suspension) const
{
    const auto waited = m_state.clock().now() - m_receivedAt;
    return waited + suspension <= m_route->latencyObjective * suspensionWaitShare;
}

SteadyTime RequestForwarder::residencyDeadline() const
{
    const auto maxWait = duration_cast<Milliseconds>((m_deadline - m_receivedAt) * residencyWaitShare);
    if (isTakeUp())
        return m_receivedAt + maxWait; // The caller may have no further try.
    return m_receivedAt + std::min(maxWait, std::max(m_route->latencyObjective, minResidencyWait));
}

asio::awaitable<bool> RequestForwarder::waitForResidency()
{
    const auto now = m_state.clock().now();
    if (now >= residencyDeadline())
        co_return false;
    const bool isAdapterMissing
        = !m_request.adapter.empty() && m_state.isModelResident(m_service->name, m_request.model);
    if (!isAdapterMissing) {
        co_await m_state.waitForChange(residencyDeadline());
        co_return true;
    }
    if (++m_adapterRequests > adapterRequestLimit)
        co_return false;
    const AdapterDemand demand { m_service->name, m_request.model, m_request.adapter, m_adapterRefusedBy };
    auto placed = co_await m_dependencies.adapters.placeAdapter(demand, now + adapterTimeout);
    if (placed) {
        m_state.residencyHints().recordPresent(*placed, m_request.model, m_request.adapter);
        co_return true;
    }
    LOG(INFO) << "event=adapter-missing request=" << m_request.id << " model=" << m_request.model
              << " adapter=" << m_request.adapter << " error=\"" << placed.error().detail << "\"";
    co_await m_state.waitForChange(std::min(residencyDeadline(), m_state.clock().now() + adapterRetryDelay));
    co_return true;
}

/// Returns the time by which the request must have ended. The deadline may lie after the end of this process.
SteadyTime RequestForwarder::effectiveDeadline() const
{
    const auto& shutdownEnd = m_state.shutdownEnd();
    return shutdownEnd ? std::min(m_deadline, *shutdownEnd) : m_deadline;
}

Milliseconds RequestForwarder::timeLeft() const { return millisecondsOf(effectiveDeadline() - m_state.clock().now()); }

/// Returns whether this instance will probably have stopped before an upstream could respond. The request is then
/// refused while it is certain that it has not run.
bool RequestForwarder::isTooLateToStart() const
{
    const auto& shutdownEnd = m_state.shutdownEnd();
    return shutdownEnd && m_attemptsMaybeExecuted == 0 && !m_isStreaming
        && *shutdownEnd - m_state.clock().now() < std::min(m_route->latencyObjective, startMargin);
}

/// Ends a request that this instance cannot complete before it stops. Other instances can serve it at once.
asio::awaitable<void> RequestForwarder::endForShutdown()
{
    m_retryAfter = Milliseconds(0);
    auto failure = unavailableFailure("this instance is shutting down");
    failure.verdict = m_verdict;
    co_await respondWithFailure(std::move(failure));
}

unsigned RequestForwarder::urgency() const
{
    const unsigned urgencyOffset = m_route->latencyObjective >= relaxedLatencyObjective ? 1 : 0;
    const unsigned priority = m_team && m_team->priority ? *m_team->priority : m_route->priority;
    return std::min(lowestUrgency, std::min(lowestUrgency, priority) * 2 + urgencyOffset);
}

bool RequestForwarder::mayRetry(const Failure& failure)
{
    const FailedAttempt input { .verdict = failure.verdict,
        .wasSent = m_wasLastAttemptSent,
        .hasForwardedOutput = m_isStreaming,
        .canResume = m_eventSplitter.lastEventId().has_value(),
        .upstreamsTried = m_attemptsSent,
        .possibleRuns = m_attemptsMaybeExecuted,
        .connectFailures = m_connectFailures,
        .timeLeft = m_deadline - m_state.clock().now() };
    const auto decision = decideRetry(*m_route, input);
    const bool isAllowed = decision == RetryDecision::RetryElsewhere
        || (decision == RetryDecision::RetryElsewhereOnBudget && m_state.retryBudget(m_service->name).tryConsume());
    const std::string_view label = isAllowed ? "retry" : decision == RetryDecision::GiveUp ? "give-up" : "no-budget";
    m_dependencies.metrics.recordRetryDecision(label);
    LOG(INFO) << "event=attempt-failed request=" << m_request.id << " upstream=" << m_lastUpstream
              << " connection=" << m_lastConnection.number << " connection_requests=" << m_lastConnection.requests
              << " verdict=" << toString(failure.verdict) << " decision=" << label << " tried=" << m_attemptsSent
              << " run=" << m_attemptsMaybeExecuted << " left_ms=" << timeLeft().count()
              << " budget=" << m_state.retryBudget(m_service->name).balance() << " error=\"" << failure.code.message()
              << ": " << failure.detail << "\"";
    return isAllowed;
}

asio::awaitable<void> RequestForwarder::respondWithFailure(Failure failure)
{
    if (m_isStreaming) {
        // The missing last chunk tells the client that the stream is truncated.
        m_exchange.close();
        logCompletion("stream-cut", 0, failure.detail);
        co_return;
    }
    if (m_upstreamErrorResponse) {
        const unsigned status = m_upstreamErrorResponse->status;
        co_await m_exchange.respond(std::move(*m_upstreamErrorResponse));
        logCompletion("upstream-error", status, failure.detail);
        co_return;
    }
    if (m_verdict == Verdict::NotRun) {
        const bool isOverload = failure.code == Errc::Refused;
        const Problem problem { .code = isOverload ? ProblemCode::Overloaded : ProblemCode::NoUpstream,
            .detail = failure.detail,
            .verdict = m_verdict };
        const auto defaultRetryAfter = isOverload || !m_service->engine ? overloadRetryAfter : missingModelRetryAfter;
        const auto retryAfter = m_retryAfter.value_or(defaultRetryAfter);
        co_await sendError(problem, retryAfter);
        co_return;
    }
    const bool isTimeout = failure.code == Errc::Timeout;
    const Problem problem { .code = isTimeout ? ProblemCode::DeadlineExceeded : ProblemCode::UpstreamFailed,
        .detail = failure.detail,
        .verdict = m_verdict };
    co_await sendError(problem, std::nullopt);
}

/// Sends an error response. One that promises that the request has not run is replaced if it may have run, which is so
/// for a request that another instance handed on after an attempt.
asio::awaitable<void> RequestForwarder::sendError(Problem problem, std::optional<Milliseconds> retryAfter)
{
    if (m_verdict != Verdict::NotRun && impliesNotExecuted(statusOf(problem.code))) {
        problem.code = ProblemCode::UpstreamFailed;
        problem.verdict = m_verdict;
        retryAfter.reset();
    }
    auto response = problemResponse(problem, m_request.id);
    m_dependencies.format.completeErrorResponse(response, m_request.id, retryAfter);
    const unsigned status = response.status;
    const auto ec = co_await m_exchange.respond(std::move(response));
    std::string detail = problem.detail;
    if (ec)
        detail += "; not delivered: " + ec.message();
    logCompletion(toString(problem.code), status, detail);
}

void RequestForwarder::endAfterClientDisconnect(const std::string& detail)
{
    m_exchange.close();
    logCompletion("caller-left", 0, detail);
}

void RequestForwarder::logCompletion(std::string_view outcome, unsigned status, const std::string& detail)
{
    const auto duration = m_state.clock().now() - m_receivedAt;
    m_dependencies.metrics.recordRequest(m_route ? toString(m_route->kind) : "unknown", outcome, duration);
    LOG(INFO) << "event=request request=" << m_request.id << " route=" << (m_route ? m_route->name : "-")
              << " team=" << (m_team ? m_team->name : "-") << " model=" << m_request.model
              << " adapter=" << m_request.adapter << " upstream=" << m_lastUpstream << " outcome=" << outcome
              << " status=" << status << " verdict=" << toString(m_verdict) << " attempts=" << m_attemptsSent
              << " events=" << m_eventSplitter.eventCount()
              << " framing=" << (m_responseFraming ? toString(*m_responseFraming) : "none")
              << " partial_event_bytes=" << m_partialEventBytes
              << " config=" << (m_configuration ? m_configuration->version() : 0)
              << " directory=" << m_state.directory().version()
              << " first_ms=" << (m_firstResponseAfter ? std::to_string(m_firstResponseAfter->count()) : "none")
              << " gap_ms=" << (m_eventSplitter.eventCount() > 1 ? std::to_string(m_longestGap.count()) : "none")
              << " ms=" << millisecondsOf(duration).count() << " detail=\"" << detail << "\"";
}

} // namespace bulrushstack
