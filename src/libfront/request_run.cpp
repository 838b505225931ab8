#include "request_run.h"

#include "bulrushstack/kernel/tasks.h"
#include <algorithm>
#include <glog/logging.h>

namespace bulrushstack {

namespace {

namespace asio = boost::asio;
using std::chrono::duration_cast;

constexpr Milliseconds adapterTimeout { 400 };
constexpr Milliseconds adapterRetryPause { 100 };
constexpr unsigned adapterRequestLimit = 4;
constexpr Milliseconds shortestResidencyWait { 1500 };
constexpr double residencyShare = 0.5; ///< of the time left that a request waits for its model

constexpr Milliseconds refusedRetryAfter { 300 };
constexpr Milliseconds residencyRetryAfter { 1000 };
constexpr Milliseconds patientObjective { 2000 }; ///< routes with a longer objective come behind others of their rank
constexpr unsigned lowestUrgency = 9;

} // namespace

RequestRun::RequestRun(RequestServices services, HttpExchange& exchange)
    : m_services(services)
    , m_state(services.state)
    , m_exchange(exchange)
    , m_received(services.state.clock().now())
{
}

asio::awaitable<void> RequestRun::run()
{
    if (auto problem = admissionProblem()) {
        std::optional<Milliseconds> retryAfter;
        if (!m_configuration)
            retryAfter = refusedRetryAfter;
        co_await refuse(*problem, retryAfter);
        co_return;
    }
    m_exchange.onClientGone([this, alive = std::weak_ptr(m_isAlive)] {
        if (alive.expired())
            return;
        m_isClientGone = true;
        m_cancellation->cancel();
        m_state.wakeWaiting();
    });
    co_await runAdmitted();
}

std::optional<Problem> RequestRun::admissionProblem()
{
    auto request = m_services.format.decode(m_exchange.request());
    if (!request)
        return Problem { .code = ProblemCode::MalformedRequest, .detail = request.error().detail };
    m_request = std::move(*request);
    m_configuration = m_state.configuration();
    if (!m_configuration)
        return Problem { .code = ProblemCode::NoUpstream, .detail = "no configuration is known yet" };
    m_route = m_configuration->findRoute(m_request.host, m_request.path);
    if (!m_route)
        return Problem { .code = ProblemCode::NotFound, .detail = "no route leads to this host and path" };
    m_service = m_configuration->findService(chooseService(*m_route, m_state.random()));
    if (!m_service)
        return Problem { .code = ProblemCode::NoUpstream, .detail = "the route leads to an unknown service" };
    const auto patience
        = m_request.callerTimeout ? std::min(*m_request.callerTimeout, m_route->timeout) : m_route->timeout;
    m_deadline = m_received + patience;
    m_digest = requestDigest(m_request, m_exchange.request().target, m_exchange.request().body);
    if (m_state.suspects().isQuarantined(m_digest))
        return Problem { .code = ProblemCode::NoUpstream, .detail = "upstreams crashed while they ran this request" };
    return std::nullopt;
}

asio::awaitable<void> RequestRun::runAdmitted()
{
    m_state.budget(m_service->name).recordRequest();
    if (m_service->engine) {
        const double workMs = estimateWorkMs(m_request, *m_service->engine, m_state.prefillMsPerToken(m_request.model));
        m_state.noteDemand(m_service->name, m_request, workMs, m_state.isModelHeld(m_service->name, m_request.model));
    }
    for (;;) {
        const auto chosen = co_await chooseUpstream();
        if (m_isClientGone) {
            endWithoutCaller("before an upstream was chosen");
            co_return;
        }
        if (chosen && isRefusedForLoad(*chosen)) {
            Failure failure { .code = Errc::Refused, .verdict = Verdict::NotRun, .detail = "the upstreams are behind" };
            co_await giveUp(std::move(failure));
            co_return;
        }
        if (!chosen) {
            Failure failure { .code = Errc::Unavailable, .verdict = Verdict::NotRun, .detail = "no upstream" };
            co_await giveUp(std::move(failure));
            co_return;
        }
        auto failure = co_await attempt(*chosen);
        if (!failure || m_isDone)
            co_return;
        m_verdict = join(m_verdict, failure->verdict);
        if (m_isClientGone) {
            endWithoutCaller(failure->detail);
            co_return;
        }
        if (!mayTryAgain(*failure)) {
            co_await giveUp(std::move(*failure));
            co_return;
        }
    }
}

/// A request that an upstream has run, or whose stream has begun, is always continued.
bool RequestRun::isRefusedForLoad(const RankedUpstream& chosen)
{
    if (m_isStreaming || m_upstreamsRun > 0)
        return false;
    const AdmissionInput input {
        .latencyObjective = m_route->latencyObjective, .timeLeft = timeLeft(), .jitter = m_state.randomShare()
    };
    m_refusalPause = rejectionRetryDelay(input, chosen);
    if (m_refusalPause)
        LOG(INFO) << "event=overload request=" << m_request.id << " upstream=" << chosen.upstream->id
                  << " delay_ms=" << chosen.queueingDelay.count()
                  << " objective_ms=" << m_route->latencyObjective.count() << " urgency=" << urgency();
    return m_refusalPause.has_value();
}

std::vector<RankedUpstream> RequestRun::rate() const
{
    const SelectionInput input { .request = m_request,
        .zone = m_state.zone(),
        .engine = m_service->engine ? &*m_service->engine : nullptr,
        .latencyObjective = m_route->latencyObjective,
        .urgency = urgency(),
        .prefillMsPerToken = m_state.prefillMsPerToken(m_request.model),
        .tieBreaker = m_state.random(),
        .excluded = m_tried };
    return rankUpstreams(input, m_state.holders(m_service->name, m_request), m_state.loads());
}

asio::awaitable<std::optional<RankedUpstream>> RequestRun::chooseUpstream()
{
    for (;;) {
        if (m_isClientGone || m_state.clock().now() >= m_deadline)
            co_return std::nullopt;
        auto rated = rate();
        if (!rated.empty())
            co_return rated.front();
        m_refusalPause = m_state.pauseOfHolders(m_service->name, m_request);
        if (m_refusalPause)
            co_return std::nullopt;
        if (!m_service->engine || !m_tried.empty())
            co_return std::nullopt;
        const bool isWorthAnotherLook = co_await waitForResidency();
        if (!isWorthAnotherLook)
            co_return std::nullopt;
    }
}

SteadyTime RequestRun::residencyDeadline() const
{
    const auto share = duration_cast<Milliseconds>((m_deadline - m_received) * residencyShare);
    return m_received + std::min(share, std::max(m_route->latencyObjective, shortestResidencyWait));
}

asio::awaitable<bool> RequestRun::waitForResidency()
{
    const auto now = m_state.clock().now();
    if (now >= residencyDeadline())
        co_return false;
    const bool isAdapterMissing = !m_request.adapter.empty() && m_state.isModelHeld(m_service->name, m_request.model);
    if (!isAdapterMissing) {
        co_await m_state.waitForChange(residencyDeadline());
        co_return true;
    }
    if (++m_adapterRequests > adapterRequestLimit)
        co_return false;
    const AdapterDemand adapter { m_service->name, m_request.model, m_request.adapter, m_adapterRefusedBy };
    auto placed = co_await m_services.adapters.placeAdapter(adapter, now + adapterTimeout);
    if (placed) {
        m_state.hints().recordPresent(*placed, m_request.model, m_request.adapter);
        co_return true;
    }
    LOG(INFO) << "event=adapter-missing request=" << m_request.id << " model=" << m_request.model
              << " adapter=" << m_request.adapter << " error=\"" << placed.error().detail << "\"";
    co_await m_state.waitForChange(std::min(residencyDeadline(), m_state.clock().now() + adapterRetryPause));
    co_return true;
}

Milliseconds RequestRun::timeLeft() const { return millisecondsOf(m_deadline - m_state.clock().now()); }

unsigned RequestRun::urgency() const
{
    const unsigned patient = m_route->latencyObjective >= patientObjective ? 1 : 0;
    return std::min(lowestUrgency, m_route->priority * 2 + patient);
}

bool RequestRun::mayTryAgain(const Failure& failure)
{
    const FailedAttempt input { .verdict = failure.verdict,
        .wasSent = m_wasSent,
        .hasForwardedOutput = m_isStreaming,
        .canResume = m_events.lastId().has_value(),
        .upstreamsTried = m_upstreamsTried,
        .possibleRuns = m_upstreamsRun,
        .connectFailures = m_connectFailures,
        .timeLeft = m_deadline - m_state.clock().now() };
    const auto step = decideRetry(*m_route, input);
    const bool isAllowed = step == RetryDecision::RetryElsewhere
        || (step == RetryDecision::RetryElsewhereOnBudget && m_state.budget(m_service->name).tryConsume());
    const std::string_view decision = isAllowed ? "retry" : step == RetryDecision::GiveUp ? "give-up" : "no-budget";
    m_services.metrics.noteRetry(decision);
    LOG(INFO) << "event=attempt-failed request=" << m_request.id << " upstream=" << m_lastUpstream
              << " verdict=" << toString(failure.verdict) << " decision=" << decision << " tried=" << m_upstreamsTried
              << " run=" << m_upstreamsRun << " left_ms=" << timeLeft().count()
              << " budget=" << m_state.budget(m_service->name).balance() << " error=\"" << failure.code.message()
              << ": " << failure.detail << "\"";
    return isAllowed;
}

asio::awaitable<void> RequestRun::giveUp(Failure failure)
{
    if (m_isStreaming) {
        // The caller tells a cut stream from a complete one by the missing last chunk.
        m_exchange.close();
        logEnd("stream-cut", 0, failure.detail);
        co_return;
    }
    if (m_failedAnswer) {
        const unsigned status = m_failedAnswer->status;
        co_await m_exchange.respond(std::move(*m_failedAnswer));
        logEnd("upstream-error", status, failure.detail);
        co_return;
    }
    if (m_verdict == Verdict::NotRun) {
        const bool isOverload = failure.code == Errc::Refused;
        const Problem problem { .code = isOverload ? ProblemCode::Overloaded : ProblemCode::NoUpstream,
            .detail = failure.detail,
            .verdict = m_verdict };
        const auto usualPause = isOverload || !m_service->engine ? refusedRetryAfter : residencyRetryAfter;
        const auto retryAfter = m_refusalPause.value_or(usualPause);
        co_await refuse(problem, retryAfter);
        co_return;
    }
    const bool isTimeout = failure.code == Errc::Timeout;
    const Problem problem { .code = isTimeout ? ProblemCode::DeadlineExceeded : ProblemCode::UpstreamFailed,
        .detail = failure.detail,
        .verdict = m_verdict };
    co_await refuse(problem, std::nullopt);
}

asio::awaitable<void> RequestRun::refuse(Problem problem, std::optional<Milliseconds> retryAfter)
{
    auto response = problemResponse(problem, m_request.id);
    m_services.format.finishRefusal(response, m_request.id, retryAfter);
    const unsigned status = response.status;
    const auto ec = co_await m_exchange.respond(std::move(response));
    std::string detail = problem.detail;
    if (ec)
        detail += "; not delivered: " + ec.message();
    logEnd(toString(problem.code), status, detail);
}

void RequestRun::endWithoutCaller(const std::string& detail)
{
    m_exchange.close();
    logEnd("caller-left", 0, detail);
}

void RequestRun::logEnd(std::string_view outcome, unsigned status, const std::string& detail)
{
    const auto duration = m_state.clock().now() - m_received;
    m_services.metrics.noteRequest(m_route ? toString(m_route->kind) : "unknown", outcome, duration);
    LOG(INFO) << "event=request request=" << m_request.id << " route=" << (m_route ? m_route->name : "-")
              << " model=" << m_request.model << " adapter=" << m_request.adapter << " upstream=" << m_lastUpstream
              << " outcome=" << outcome << " status=" << status << " verdict=" << toString(m_verdict)
              << " attempts=" << m_upstreamsTried << " events=" << m_events.count()
              << " config=" << (m_configuration ? m_configuration->version() : 0)
              << " directory=" << m_state.directory().version()
              << " first_ms=" << (m_firstAnswerAfter ? std::to_string(m_firstAnswerAfter->count()) : "none")
              << " ms=" << millisecondsOf(duration).count() << " detail=\"" << detail << "\"";
}

} // namespace bulrushstack
